//! What all daemons share: their thread, their listeners and the end of their requests.

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

/// Time between two looks at the requests in flight.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the tasks of a daemon on this thread.
///
/// # Errors
///
/// Returns the error of the tasks, or of a system that refuses a resource.
pub(super) fn run_on_thread(
    tasks: impl Future<Output = Result<(), DaemonError>>,
) -> Result<(), DaemonError> {
    let runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    // Dropping the runtime drops its tasks, whose wakers panic outside of it. The process ends
    // behind this call, so that nothing is lost by leaving them.
    let mut runtime = ManuallyDrop::new(runtime);
    runtime.block_on(tasks)
}

/// Waits until nothing is in flight, or the limit has passed.
pub(super) async fn drain(proxy: &ProxyContext, limit: Duration) {
    let end = Instant::now() + limit;
    while proxy.in_flight.count() + proxy.connections.count() > 0 && Instant::now() < end {
        monoio::time::sleep(DRAIN_INTERVAL).await;
    }
    let left = proxy.in_flight.count();
    if left > 0 {
        log::error!("shutdown limit passed with {left} requests in flight");
    }
}

/// Binds a listener.
///
/// # Errors
///
/// Returns the address and the reason.
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
