//! Idle connections to targets.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::TargetConnection;

/// Maximum time that a connection stays idle.
pub const MAX_IDLE: Duration = Duration::from_secs(10);
/// Maximum age of a connection at its last request.
const MAX_AGE: Duration = Duration::from_secs(300);
/// Idle time within which no server closes a connection for being idle.
pub const MAX_RECENT_IDLE: Duration = Duration::from_secs(1);
/// Maximum number of idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 16;

struct IdleConnection {
    conn: TargetConnection,
    idle_since: BootTime,
}

impl IdleConnection {
    fn is_usable(&self, now: BootTime) -> bool {
        now.since(self.idle_since) <= MAX_IDLE && now.since(self.conn.opened_at) <= MAX_AGE
    }
}

/// Idle connections by target address.
pub struct IdleConnections {
    by_address: FxHashMap<SocketAddr, VecDeque<IdleConnection>>,
    /// Maximum number of connections to all targets.
    max_total: usize,
}

impl IdleConnections {
    /// Creates an empty pool of at most `max_total` connections.
    pub fn new(max_total: usize) -> Self {
        Self {
            by_address: FxHashMap::default(),
            max_total,
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.by_address.values().map(VecDeque::len).sum()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes the most recently used connection to `address` that is still usable and was idle for
    /// at most `max_idle`.
    pub fn take(
        &mut self,
        address: SocketAddr,
        max_idle: Duration,
        now: BootTime,
    ) -> Option<TargetConnection> {
        let queue = self.by_address.get_mut(&address)?;
        let recent = |idle: &IdleConnection| now.since(idle.idle_since) <= max_idle;
        while queue.back().is_some_and(recent) {
            let idle = queue.pop_back()?;
            if idle.is_usable(now) && idle.conn.is_open_and_idle() {
                return Some(idle.conn);
            }
        }
        None
    }

    /// Adds a connection to the pool for later requests, or closes it if it is not open and idle or
    /// if its target has the maximum number of idle connections. Closes the connection that has been
    /// idle for longest if there are too many in total.
    pub fn put(&mut self, conn: TargetConnection, now: BootTime) {
        if !conn.is_open_and_idle() {
            return;
        }
        let queue = self.by_address.entry(conn.address).or_default();
        while queue.front().is_some_and(|idle| !idle.is_usable(now)) {
            queue.pop_front();
        }
        if queue.len() < MAX_IDLE_PER_TARGET {
            queue.push_back(IdleConnection {
                conn,
                idle_since: now,
            });
            if self.len() > self.max_total {
                self.close_oldest();
            }
        }
    }

    /// Closes the connection that has been idle for longest.
    fn close_oldest(&mut self) {
        let idle_since = |queue: &VecDeque<IdleConnection>| queue.front().map(|i| i.idle_since);
        let queues = self.by_address.values_mut().filter(|q| !q.is_empty());
        if let Some(queue) = queues.min_by_key(|q| idle_since(q)) {
            queue.pop_front();
        }
    }

    /// Closes the connections to `address` that have been idle since `since` or longer.
    ///
    /// Connections returned later have carried a response after `since` and are known to work.
    pub fn close_unused_since(&mut self, address: SocketAddr, since: BootTime) {
        if let Some(queue) = self.by_address.get_mut(&address) {
            queue.retain(|idle| idle.idle_since > since);
        }
    }

    /// Returns whether there are recently used connections to `address` and the target has closed
    /// all of them.
    ///
    /// Connections that were idle for longer may have reached the idle timeout of the target.
    pub fn all_recent_closed(&self, address: SocketAddr, now: BootTime) -> bool {
        let queue = self.by_address.get(&address).into_iter().flatten();
        let mut recent = queue
            .filter(|idle| now.since(idle.idle_since) <= MAX_RECENT_IDLE)
            .peekable();
        recent.peek().is_some() && recent.all(|idle| !idle.conn.is_open_and_idle())
    }

    /// Closes connections that have been idle for too long or are too old, and those that the target
    /// has closed. The latter are kept for [`MAX_RECENT_IDLE`], as they tell of a crash of the
    /// target.
    pub fn evict_expired(&mut self, now: BootTime) {
        let is_recent = |idle: &IdleConnection| now.since(idle.idle_since) <= MAX_RECENT_IDLE;
        let is_kept = |idle: &IdleConnection| {
            idle.is_usable(now) && (is_recent(idle) || idle.conn.is_open_and_idle())
        };
        self.by_address.retain(|_, queue| {
            queue.retain(is_kept);
            !queue.is_empty()
        });
    }
}
