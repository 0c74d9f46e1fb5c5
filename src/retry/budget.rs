//! The bound on what retries add to the load of a service.

use crate::clock::BootTime;

/// Retries that one answered request pays for.
const SHARE: f64 = 0.1;
/// Most retries that are saved up.
const MAX_SAVED: f64 = 10.0;
/// Retries a second that are granted whatever the share.
const FLOOR_PER_S: f64 = 0.1;

/// Bounds the retries of one service to a share of its answered requests and a small floor.
///
/// Requests without an answer pay for nothing, so that a service that is wholly down gets
/// hardly more than one attempt per request.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    saved: f64,
    refilled: BootTime,
}

impl RetryBudget {
    /// Makes a full budget.
    pub fn new(now: BootTime) -> Self {
        Self {
            saved: MAX_SAVED,
            refilled: now,
        }
    }

    /// Takes note of an answered request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + SHARE).min(MAX_SAVED);
    }

    /// Takes one retry, and tells whether it was granted.
    pub fn withdraw(&mut self, now: BootTime) -> bool {
        let gained = now.since(self.refilled).as_secs_f64() * FLOOR_PER_S;
        self.saved = (self.saved + gained).min(MAX_SAVED);
        self.refilled = now;
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
