//! Accepting of connections on ports that need no limits and no draining.

use std::{rc::Rc, time::Duration};

use monoio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::store::BoxFuture;

use super::HttpError;

/// Delay after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Serves the connections of one port.
pub trait ConnectionHandler {
    /// Serves one connection until its end.
    fn serve_connection(&self, stream: TcpStream) -> BoxFuture<'_, Result<(), HttpError>>;
}

/// Accepts connections until the daemon exits, and serves each in a task of its own. `port` names the
/// port in the log.
pub async fn accept_task(
    listener: TcpListener,
    port: &'static str,
    handler: Rc<dyn ConnectionHandler>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                monoio::spawn(async move {
                    if let Err(e) = handler.serve_connection(stream).await {
                        log::debug!("{port} connection: {e}");
                    }
                });
            }
            Err(e) => {
                log::error!("cannot accept on the {port} port: {e}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
