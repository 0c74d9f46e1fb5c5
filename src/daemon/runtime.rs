//! Runtime, listeners and request draining of all daemons.

use std::{
    future::Future,
    mem::ManuallyDrop,
    net::SocketAddr,
    time::{Duration, Instant},
};

use monoio::{
    net::{ListenerOpts, TcpListener},
    LegacyDriver, RuntimeBuilder,
};

use crate::proxy::ProxyContext;

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

/// Waits until no requests or connections are left, at most for `limit`.
pub(super) async fn drain(proxy: &ProxyContext, limit: Duration) {
    let end = Instant::now() + limit;
    while proxy.in_flight.count() + proxy.connections.count() > 0 && Instant::now() < end {
        monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let left = proxy.in_flight.count();
    if left > 0 {
        log::error!("drain timed out with {left} requests in flight");
    }
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
