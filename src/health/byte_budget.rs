//! A bound on the bytes that a task sends.

use std::time::Duration;

use crate::clock::BootTime;

/// A token bucket of bytes.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    bytes_per_s: f64,
    burst_bytes: f64,
    left: f64,
    at: BootTime,
}

impl ByteBudget {
    /// Makes a full bucket.
    pub fn new(bytes_per_s: f64, burst_bytes: f64, now: BootTime) -> Self {
        Self {
            bytes_per_s,
            burst_bytes,
            left: burst_bytes,
            at: now,
        }
    }

    /// Takes `bytes` if that many are left.
    pub fn try_take(&mut self, bytes: f64, now: BootTime) -> bool {
        let passed: Duration = now.since(self.at);
        let refilled = self.left + self.bytes_per_s * passed.as_secs_f64();
        self.left = refilled.min(self.burst_bytes);
        self.at = self.at.max(now);
        if self.left < bytes {
            return false;
        }
        self.left -= bytes;
        true
    }
}
