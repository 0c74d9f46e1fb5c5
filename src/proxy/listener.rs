//! Accepting callers.

use std::{io, rc::Rc, time::Duration};

use monoio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{metrics::Counter, outcome::ErrorKind};

use super::{caller::CallerConnection, ProxyContext};

/// Pause after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);
/// Longest time without a further connection before the listener closes in a shutdown.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(20);
/// Longest time for which connections are accepted in a shutdown.
const MAX_BACKLOG_TIME: Duration = Duration::from_millis(200);

/// Accepts callers until the shutdown has begun and all that had connected are accepted.
pub async fn listen_task(cx: Rc<ProxyContext>, listener: TcpListener) {
    let shutdown = cx.shutdown.clone();
    while !shutdown.is_triggered() {
        monoio::select! {
            accepted = listener.accept() => take(&cx, accepted.map(|(stream, _)| stream)).await,
            () = shutdown.wait() => {}
        }
    }
    let _ = timeout(MAX_BACKLOG_TIME, drain_backlog(&cx, &listener)).await;
}

/// Accepts what had connected before the shutdown.
async fn drain_backlog(cx: &Rc<ProxyContext>, listener: &TcpListener) {
    while let Ok(Ok((stream, _))) = timeout(BACKLOG_TIMEOUT, listener.accept()).await {
        take(cx, Ok(stream)).await;
    }
}

async fn take(cx: &Rc<ProxyContext>, accepted: io::Result<TcpStream>) {
    let stream = match accepted {
        Ok(stream) => stream,
        Err(e) => {
            log::error!("accept: {e}");
            return sleep(ACCEPT_RETRY).await;
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
    // Beyond this bound a connection is dropped without an answer.
    if let Some(guard) = cx.refused_connections.try_acquire() {
        monoio::spawn(async move {
            let _guard = guard;
            conn.refuse(ErrorKind::TooManyConnections).await;
        });
    }
}
