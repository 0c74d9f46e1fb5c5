//! The bound on log lines of one kind.

use std::time::Duration;

use crate::clock::BootTime;

/// Lines of one kind a second that are written.
const LINES_PER_S: f64 = 50.0;
/// Lines of one kind that are written at once.
const BURST: f64 = 200.0;

/// The bound on log lines of one kind, and the count of those left out.
#[derive(Debug, Clone, PartialEq)]
pub struct LogRateLimiter {
    level: f64,
    at: BootTime,
    left_out: u64,
}

impl LogRateLimiter {
    /// Makes a full budget.
    pub fn new(now: BootTime) -> Self {
        Self {
            level: BURST,
            at: now,
            left_out: 0,
        }
    }

    /// Returns how many lines were left out before the one that may be written now; none when
    /// this one is left out too.
    pub fn try_take(&mut self, now: BootTime) -> Option<u64> {
        let gained = now.since(self.at).as_secs_f64() * LINES_PER_S;
        self.level = (self.level + gained).min(BURST);
        self.at = self.at.max(now);
        if self.level < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.level -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }

    /// Returns the time in which an empty budget fills up.
    pub fn refill_time() -> Duration {
        Duration::from_secs_f64(BURST / LINES_PER_S)
    }
}
