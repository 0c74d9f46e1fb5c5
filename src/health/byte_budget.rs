//! Limit on the bytes that a task sends.

use std::time::Duration;

use crate::clock::BootTime;

/// A token bucket of bytes.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    bytes_per_s: f64,
    burst_bytes: f64,
    available: f64,
    refilled_at: BootTime,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(bytes_per_s: f64, burst_bytes: f64, now: BootTime) -> Self {
        Self {
            bytes_per_s,
            burst_bytes,
            available: burst_bytes,
            refilled_at: now,
        }
    }

    /// Takes `bytes` from the bucket; returns false and takes none if fewer are available.
    pub fn try_take(&mut self, bytes: f64, now: BootTime) -> bool {
        let elapsed: Duration = now.since(self.refilled_at);
        let refilled = self.available + self.bytes_per_s * elapsed.as_secs_f64();
        self.available = refilled.min(self.burst_bytes);
        self.refilled_at = self.refilled_at.max(now);
        if self.available < bytes {
            return false;
        }
        self.available -= bytes;
        true
    }
}
