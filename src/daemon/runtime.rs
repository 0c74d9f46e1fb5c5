//! Runtime, listeners and request draining of all daemons.

use std::{future::Future, mem::ManuallyDrop, net::SocketAddr, time::Duration};

use monoio::{
    net::{ListenerOpts, TcpListener},
    LegacyDriver, RuntimeBuilder,
};

use crate::{clock::BootTime, proxy::ProxyContext};

use super::DaemonError;

/// Interval at which requests in flight are polled.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the tasks of a daemon on the current thread.
///
/// # Errors
///
/// Returns the error of the tasks, or an error if the runtime cannot be created.
pub(super) fn run_on_thread(
    tasks: impl Future<Output = Result<(), DaemonError>>,
) -> Result<(), DaemonError> {
    let runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    // Dropping the runtime would drop its tasks, whose wakers panic outside of the runtime. The
    // process exits after this call, so that leaking the tasks loses nothing.
    let mut runtime = ManuallyDrop::new(runtime);
    runtime.block_on(tasks)
}

/// Time for the error responses to requests that are under way at the end of the grace.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(200);

/// Stops accepting requests after `notice` and waits until none is left, at most for `grace` in
/// total. Requests that are under way then get an error response.
pub(super) async fn drain(proxy: &ProxyContext, notice: Duration, grace: Duration) {
    let end = proxy.clock.now() + grace;
    proxy.grace.start(end);
    proxy.draining.trigger();
    monoio::time::sleep(notice).await;
    proxy.shutdown.trigger();
    if wait_until_idle(proxy, end).await {
        return;
    }
    log::warn!(requests = proxy.in_flight.count(); "ending requests at the end of the shutdown");
    proxy.grace.finish();
    wait_until_idle(proxy, end + LAST_RESPONSES_TIME).await;
    let cut_off = proxy.in_flight.count();
    if cut_off > 0 {
        log::error!(requests = cut_off; "requests cut off at the end of the shutdown");
    }
}

/// Waits until no requests or connections are left; returns false if some are left at `end`.
async fn wait_until_idle(proxy: &ProxyContext, end: BootTime) -> bool {
    while proxy.in_flight.count() + proxy.connections.count() > 0 {
        if proxy.clock.now() >= end {
            return false;
        }
        monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    true
}

/// Binds a listening socket.
///
/// # Errors
///
/// Returns [`DaemonError::Bind`] if the address cannot be bound.
pub(super) fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let opts = ListenerOpts::new()
        .reuse_port(false)
        .reuse_addr(true)
        .backlog(1024);
    TcpListener::bind_with_config(address, &opts).map_err(|e| DaemonError::Bind {
        address,
        kind: e.kind(),
    })
}
