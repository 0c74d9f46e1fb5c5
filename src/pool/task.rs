//! The task that owns the idle connections.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use local_sync::{mpsc, oneshot};

use crate::clock::{BootTime, Clock};

use super::{IdleConnections, TargetConnection};

/// Time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A message to the task that owns the idle connections.
pub enum PoolMessage {
    /// Asks for a connection that was idle for at most some time.
    Take(
        SocketAddr,
        Duration,
        oneshot::Sender<Option<TargetConnection>>,
    ),
    /// Gives a connection back.
    Put(TargetConnection),
    /// Asks whether the other side closed all connections that were in use a moment ago.
    AllRecentClosed(SocketAddr, oneshot::Sender<bool>),
    /// Closes connections to a target that were idle at a time already.
    CloseUnusedSince(SocketAddr, BootTime),
}

/// Sends messages to the task that owns the idle connections.
#[derive(Clone)]
pub struct PoolHandle {
    tx: mpsc::unbounded::Tx<PoolMessage>,
}

impl PoolHandle {
    /// Makes a handle that sends to the receiver of `tx`.
    pub fn new(tx: mpsc::unbounded::Tx<PoolMessage>) -> Self {
        Self { tx }
    }

    /// Asks for a connection to `address` that was idle for at most `longest`.
    pub async fn take(&self, address: SocketAddr, longest: Duration) -> Option<TargetConnection> {
        let (reply, rx) = oneshot::channel();
        self.tx
            .send(PoolMessage::Take(address, longest, reply))
            .ok()?;
        rx.await.ok().flatten()
    }

    /// Tells whether the other side closed all connections to `address` that were in use a
    /// moment ago, of which there must be some.
    pub async fn all_recent_closed(&self, address: SocketAddr) -> bool {
        let (reply, rx) = oneshot::channel();
        let _ = self.tx.send(PoolMessage::AllRecentClosed(address, reply));
        rx.await.unwrap_or(false)
    }

    /// Gives a connection back.
    pub fn put(&self, conn: TargetConnection) {
        let _ = self.tx.send(PoolMessage::Put(conn));
    }

    /// Closes the connections to `address` that were idle at `since` already.
    pub fn close_unused_since(&self, address: SocketAddr, since: BootTime) {
        let _ = self.tx.send(PoolMessage::CloseUnusedSince(address, since));
    }
}

/// Owns the idle connections and answers messages until all senders are gone.
pub async fn pool_task(mut rx: mpsc::unbounded::Rx<PoolMessage>, clock: Rc<dyn Clock>) {
    let mut idle = IdleConnections::default();
    loop {
        monoio::select! {
            () = monoio::time::sleep(SWEEP_INTERVAL) => idle.sweep(clock.now()),
            msg = rx.recv() => match msg {
                Some(PoolMessage::Take(address, longest, reply)) => {
                    let _ = reply.send(idle.take(address, longest, clock.now()));
                }
                Some(PoolMessage::Put(conn)) => idle.put(conn, clock.now()),
                Some(PoolMessage::AllRecentClosed(address, reply)) => {
                    let _ = reply.send(idle.all_recent_closed(address, clock.now()));
                }
                Some(PoolMessage::CloseUnusedSince(address, since)) => {
                    idle.close_unused_since(address, since);
                }
                None => return,
            }
        }
    }
}
