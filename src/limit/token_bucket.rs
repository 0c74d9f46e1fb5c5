//! A token bucket.

use std::time::Duration;

use crate::clock::BootTime;

/// A token bucket that is refilled at `rate_per_s` tokens per second, up to `burst`.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    refilled_at: BootTime,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` tokens at `now`.
    pub fn new(rate_per_s: f64, burst: f64, level: f64, now: BootTime) -> Self {
        Self {
            rate_per_s,
            burst,
            level: level.min(burst),
            refilled_at: now,
        }
    }

    /// Changes rate and burst; a level above the new burst is reduced to it.
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
    /// Returns the time until the next token is due if the bucket is empty.
    pub fn take(&mut self, now: BootTime) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.level) / self.rate_per_s;
        Err(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX))
    }

    /// Returns the time until the next token is due; zero if there is one.
    pub fn wait(&self, now: BootTime) -> Duration {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate_per_s;
        let missing = 1.0 - (self.level + gained).min(self.burst);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate_per_s).unwrap_or(Duration::MAX)
    }

    /// Returns the level at `now`.
    pub fn level(&mut self, now: BootTime) -> f64 {
        self.refill(now);
        self.level
    }

    fn refill(&mut self, now: BootTime) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.level = (self.level + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
