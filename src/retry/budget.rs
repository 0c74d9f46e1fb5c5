//! The bound on what retries add to the load of a service.

use crate::clock::BootTime;

/// How much retries may add to the load of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries that one answered request pays for.
    pub token_ratio: f64,
    /// Most retries that are saved up.
    pub max_tokens: f64,
    /// Retries a second that are granted whatever the share.
    pub floor_per_s: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            token_ratio: 0.1,
            max_tokens: 10.0,
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
    cfg: RetryBudgetConfig,
    saved: f64,
    refilled: BootTime,
}

impl RetryBudget {
    /// Makes a full budget.
    pub fn new(cfg: RetryBudgetConfig, now: BootTime) -> Self {
        Self {
            cfg,
            saved: cfg.max_tokens,
            refilled: now,
        }
    }

    /// Takes note of an answered request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.cfg.token_ratio).min(self.cfg.max_tokens);
    }

    /// Takes one retry, and tells whether it was granted.
    pub fn try_withdraw(&mut self, now: BootTime) -> bool {
        let gained = now.since(self.refilled).as_secs_f64() * self.cfg.floor_per_s;
        self.saved = (self.saved + gained).min(self.cfg.max_tokens);
        self.refilled = now;
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
