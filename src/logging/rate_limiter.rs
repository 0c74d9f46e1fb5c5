//! Rate limit for log lines.

use std::time::Duration;

use crate::clock::BootTime;

/// Sustained rate of log lines of one kind, 1/s.
const LINES_PER_S: f64 = 50.0;
/// Maximum burst of log lines of one kind.
const BURST: f64 = 200.0;

/// Token bucket for log lines of one kind, which counts the suppressed lines.
#[derive(Debug, Clone, PartialEq)]
pub struct LogRateLimiter {
    tokens: f64,
    updated_at: BootTime,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Creates a full token bucket.
    pub fn new(now: BootTime) -> Self {
        Self {
            tokens: BURST,
            updated_at: now,
            suppressed: 0,
        }
    }

    /// Takes a token and returns the number of lines suppressed since the last written one; `None`
    /// if this line must be suppressed too.
    pub fn try_take(&mut self, now: BootTime) -> Option<u64> {
        let refilled = now.since(self.updated_at).as_secs_f64() * LINES_PER_S;
        self.tokens = (self.tokens + refilled).min(BURST);
        self.updated_at = self.updated_at.max(now);
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }

    /// Returns the time in which an empty bucket refills completely.
    pub fn refill_time() -> Duration {
        Duration::from_secs_f64(BURST / LINES_PER_S)
    }
}
