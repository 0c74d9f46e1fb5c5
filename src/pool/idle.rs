//! Idle connections, by target.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::TargetConnection;

/// Longest time that a connection stays idle.
pub const MAX_IDLE: Duration = Duration::from_secs(10);
/// Longest time from the opening of a connection to its last request.
const MAX_AGE: Duration = Duration::from_secs(300);
/// Idle time up to which no server closes a connection for idleness.
pub const MAX_RECENT_IDLE: Duration = Duration::from_secs(1);
/// Most idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 16;

struct Idle {
    conn: TargetConnection,
    since: BootTime,
}

impl Idle {
    fn is_usable(&self, now: BootTime) -> bool {
        now.since(self.since) <= MAX_IDLE && now.since(self.conn.opened_at) <= MAX_AGE
    }
}

/// Idle connections, by target.
#[derive(Default)]
pub struct IdleConnections {
    by_address: FxHashMap<SocketAddr, VecDeque<Idle>>,
}

impl IdleConnections {
    /// Takes the connection to `address` that was used last, if one is still usable and was idle
    /// for at most `longest`.
    pub fn take(
        &mut self,
        address: SocketAddr,
        longest: Duration,
        now: BootTime,
    ) -> Option<TargetConnection> {
        let queue = self.by_address.get_mut(&address)?;
        let recent = |idle: &Idle| now.since(idle.since) <= longest;
        while queue.back().is_some_and(recent) {
            let idle = queue.pop_back()?;
            if idle.is_usable(now) && idle.conn.is_open_and_idle() {
                return Some(idle.conn);
            }
        }
        None
    }

    /// Keeps a connection for a later request.
    pub fn put(&mut self, conn: TargetConnection, now: BootTime) {
        if !conn.is_open_and_idle() {
            return;
        }
        let queue = self.by_address.entry(conn.address).or_default();
        while queue.front().is_some_and(|idle| !idle.is_usable(now)) {
            queue.pop_front();
        }
        if queue.len() < MAX_IDLE_PER_TARGET {
            queue.push_back(Idle { conn, since: now });
        }
    }

    /// Closes the connections to `address` that were idle at `since` already.
    ///
    /// One that came back later carried an answer after `since`, and is known to work.
    pub fn close_unused_since(&mut self, address: SocketAddr, since: BootTime) {
        if let Some(queue) = self.by_address.get_mut(&address) {
            queue.retain(|idle| idle.since > since);
        }
    }

    /// Tells whether the other side closed all connections to `address` that were in use a
    /// moment ago, of which there must be some.
    ///
    /// Those that were idle for longer may have met the other side's own idle limit.
    pub fn all_recent_closed(&self, address: SocketAddr, now: BootTime) -> bool {
        let queue = self.by_address.get(&address).into_iter().flatten();
        let mut recent = queue
            .filter(|idle| now.since(idle.since) <= MAX_RECENT_IDLE)
            .peekable();
        recent.peek().is_some() && recent.all(|idle| !idle.conn.is_open_and_idle())
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&mut self, now: BootTime) {
        self.by_address.retain(|_, queue| {
            queue.retain(|idle| idle.is_usable(now));
            !queue.is_empty()
        });
    }
}
