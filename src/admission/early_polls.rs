//! Polls of the reader ahead of time, when load rises.

use std::time::Duration;

use crate::clock::BootTime;

/// Early polls that may follow each other: one that reports the load, and one that gets the level
/// if other daemons reported theirs only after the first.
const MAX_TOKENS: f64 = 2.0;
/// Early polls per second, so that a daemon stays below the limit on messages if its load is high
/// and the fleet has no level for it.
const TOKENS_PER_S: f64 = 0.2;
/// Shortest time since the previous poll.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Decides when a daemon whose targets fill up polls its reader ahead of time. Without early polls
/// a level reaches the last daemons only two poll intervals after the load rose.
#[derive(Debug)]
pub struct EarlyPolls {
    tokens: f64,
    refilled_at: BootTime,
    polled_at: BootTime,
}

impl Default for EarlyPolls {
    fn default() -> Self {
        Self {
            tokens: MAX_TOKENS,
            refilled_at: BootTime::default(),
            polled_at: BootTime::default(),
        }
    }
}

impl EarlyPolls {
    /// Records a poll, early or not.
    pub fn record_poll(&mut self, now: BootTime) {
        self.polled_at = now;
    }

    /// Takes one early poll if it is allowed now.
    pub fn try_take(&mut self, now: BootTime) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * TOKENS_PER_S;
        self.tokens = (self.tokens + refill).min(MAX_TOKENS);
        self.refilled_at = now;
        if self.tokens < 1.0 || now.since(self.polled_at) < MIN_INTERVAL {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
