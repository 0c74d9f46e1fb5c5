//! A token bucket.

use std::time::Duration;

use crate::clock::BootTime;

/// A token bucket: it starts with the given level and gains `rate` tokens a second up to `burst`.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    at: BootTime,
}

impl TokenBucket {
    /// Makes a bucket with `level` tokens at `now`.
    pub fn new(rate_per_s: f64, burst: f64, level: f64, now: BootTime) -> Self {
        Self {
            rate_per_s,
            burst,
            level: level.min(burst),
            at: now,
        }
    }

    /// Changes rate and burst; a level above the new burst is cut.
    pub fn set_limits(&mut self, rate_per_s: f64, burst: f64, now: BootTime) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is due when there is none.
    pub fn take(&mut self, now: BootTime) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.level) / self.rate_per_s;
        Err(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX))
    }

    /// Returns the level at `now`.
    pub fn level(&mut self, now: BootTime) -> f64 {
        self.refill(now);
        self.level
    }

    fn refill(&mut self, now: BootTime) {
        let gained = now.since(self.at).as_secs_f64() * self.rate_per_s;
        self.level = (self.level + gained).min(self.burst);
        self.at = self.at.max(now);
    }
}
