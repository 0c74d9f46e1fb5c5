//! The bound on what retries add to the load of a service.

use crate::clock::BootTime;

/// How much retries may add to the load of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryTerms {
    /// Retries that one answered request pays for.
    pub share: f64,
    /// Most retries that are saved up.
    pub max_saved: f64,
    /// Retries a second that are granted whatever the share.
    pub floor_per_s: f64,
}

impl Default for RetryTerms {
    fn default() -> Self {
        Self {
            share: 0.1,
            max_saved: 10.0,
            floor_per_s: 0.1,
        }
    }
}

/// Bounds the retries of one service to a share of its answered requests and a small floor.
///
/// Requests without an answer pay for nothing, so that a service that is wholly down gets
/// hardly more than one attempt per request.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    terms: RetryTerms,
    saved: f64,
    refilled: BootTime,
}

impl RetryBudget {
    /// Makes a full budget.
    pub fn new(terms: RetryTerms, now: BootTime) -> Self {
        Self {
            terms,
            saved: terms.max_saved,
            refilled: now,
        }
    }

    /// Takes note of an answered request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.terms.share).min(self.terms.max_saved);
    }

    /// Takes one retry, and tells whether it was granted.
    pub fn withdraw(&mut self, now: BootTime) -> bool {
        let gained = now.since(self.refilled).as_secs_f64() * self.terms.floor_per_s;
        self.saved = (self.saved + gained).min(self.terms.max_saved);
        self.refilled = now;
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
