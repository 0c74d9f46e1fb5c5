//! Task that owns the idle connections.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use local_sync::{mpsc, oneshot};

use crate::clock::{BootTime, Clock};

use super::{IdleConnections, TargetConnection};

/// Interval between evictions of expired connections.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of idle connections to all targets; a quarter of the descriptors of a small host.
const MAX_IDLE_CONNECTIONS: usize = 1000;

/// A message to the task that owns the idle connections.
pub enum PoolMessage {
    /// Takes a connection that was idle for at most the given time.
    Take(
        SocketAddr,
        Duration,
        oneshot::Sender<Option<TargetConnection>>,
    ),
    /// Puts a connection back into the pool.
    Put(TargetConnection),
    /// Asks whether the target has closed all recently used connections.
    AllRecentClosed(SocketAddr, oneshot::Sender<bool>),
    /// Closes the connections to a target that have been idle since the given time or longer.
    CloseUnusedSince(SocketAddr, BootTime),
}

/// Handle to the task that owns the idle connections.
#[derive(Clone)]
pub struct PoolHandle {
    tx: mpsc::unbounded::Tx<PoolMessage>,
}

impl PoolHandle {
    /// Creates a handle that sends messages through `tx`.
    pub fn new(tx: mpsc::unbounded::Tx<PoolMessage>) -> Self {
        Self { tx }
    }

    /// Takes a connection to `address` that was idle for at most `max_idle`.
    pub async fn take(&self, address: SocketAddr, max_idle: Duration) -> Option<TargetConnection> {
        let (reply, rx) = oneshot::channel();
        self.tx
            .send(PoolMessage::Take(address, max_idle, reply))
            .ok()?;
        rx.await.ok().flatten()
    }

    /// Returns whether there are recently used connections to `address` and the target has closed
    /// all of them.
    pub async fn all_recent_closed(&self, address: SocketAddr) -> bool {
        let (reply, rx) = oneshot::channel();
        let _ = self.tx.send(PoolMessage::AllRecentClosed(address, reply));
        rx.await.unwrap_or(false)
    }

    /// Puts a connection back into the pool.
    pub fn put(&self, conn: TargetConnection) {
        let _ = self.tx.send(PoolMessage::Put(conn));
    }

    /// Closes the connections to `address` that have been idle since `since` or longer.
    pub fn close_unused_since(&self, address: SocketAddr, since: BootTime) {
        let _ = self.tx.send(PoolMessage::CloseUnusedSince(address, since));
    }
}

/// Owns the idle connections and answers messages until all senders are dropped.
pub async fn pool_task(mut rx: mpsc::unbounded::Rx<PoolMessage>, clock: Rc<dyn Clock>) {
    let mut idle = IdleConnections::new(MAX_IDLE_CONNECTIONS);
    let mut next_eviction = clock.now() + EVICTION_INTERVAL;
    loop {
        let now = clock.now();
        if now >= next_eviction {
            idle.evict_expired(now);
            next_eviction = now + EVICTION_INTERVAL;
        }
        monoio::select! {
            () = monoio::time::sleep(next_eviction.since(now)) => {}
            msg = rx.recv() => match msg {
                Some(PoolMessage::Take(address, max_idle, reply)) => {
                    let _ = reply.send(idle.take(address, max_idle, clock.now()));
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
