//! Accepting callers.

use std::rc::Rc;

use monoio::net::TcpListener;

use crate::{metrics::Counter, outcome::ErrorKind};

use super::{caller::CallerConnection, ProxyContext};

/// Accepts callers until the shutdown has begun.
pub async fn listen_task(cx: Rc<ProxyContext>, listener: TcpListener) {
    let shutdown = cx.shutdown.clone();
    loop {
        let accepted = monoio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.wait() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::error!("accept: {e}");
                monoio::time::sleep(std::time::Duration::from_millis(10)).await;
                continue;
            }
        };
        cx.metrics.count(Counter::CallerConnections);
        let guard = cx.connections.enter();
        let conn = CallerConnection::new(cx.clone(), stream);
        monoio::spawn(async move {
            match guard {
                Some(_guard) => conn.serve().await,
                None => conn.refuse(ErrorKind::TooManyConnections).await,
            }
        });
    }
}
