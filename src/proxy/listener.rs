//! Listener for caller connections.

use std::{io, rc::Rc, time::Duration};

use monoio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{metrics::Counter, outcome::ErrorKind};

use super::{caller::CallerConnection, ProxyContext};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time without a further connection after which the listener closes during a shutdown.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum time for which connections are accepted during a shutdown.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(200);

/// Accepts caller connections until a shutdown begins, then drains the accept backlog.
pub async fn listen_task(cx: Rc<ProxyContext>, listener: TcpListener) {
    let shutdown = cx.shutdown.clone();
    while !shutdown.is_triggered() {
        monoio::select! {
            accepted = listener.accept() => {
                handle_accept(&cx, accepted.map(|(stream, _)| stream)).await;
            }
            () = shutdown.wait() => {}
        }
    }
    let _ = timeout(MAX_DRAIN_TIME, drain_backlog(&cx, &listener)).await;
}

/// Accepts the connections that were established before the shutdown.
async fn drain_backlog(cx: &Rc<ProxyContext>, listener: &TcpListener) {
    while let Ok(Ok((stream, _))) = timeout(DRAIN_IDLE_TIMEOUT, listener.accept()).await {
        handle_accept(cx, Ok(stream)).await;
    }
}

async fn handle_accept(cx: &Rc<ProxyContext>, accepted: io::Result<TcpStream>) {
    let stream = match accepted {
        Ok(stream) => stream,
        Err(e) => {
            log::error!("accepting a caller connection failed: {e}");
            return sleep(ACCEPT_RETRY_DELAY).await;
        }
    };
    cx.metrics.count(Counter::CallerConnections);
    let conn = CallerConnection::new(cx.clone(), stream);
    if let Some(guard) = cx.connections.try_acquire() {
        monoio::spawn(async move {
            let _guard = guard;
            conn.serve().await;
        });
        return;
    }
    // Beyond this limit, connections are dropped without a response.
    if let Some(guard) = cx.refused_connections.try_acquire() {
        monoio::spawn(async move {
            let _guard = guard;
            conn.refuse(ErrorKind::TooManyConnections).await;
        });
    }
}
