//! Token bucket that limits the load added by retries.

use crate::clock::BootTime;

/// Limits on the retries of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Tokens added for each answered request; a retry costs one token.
    pub answer_ratio: f64,
    /// Tokens added for each request, answered or not.
    pub request_ratio: f64,
    /// Capacity of the bucket.
    pub max_tokens: f64,
    /// Tokens added per second regardless of answered requests.
    pub floor_per_s: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            answer_ratio: 0.1,
            request_ratio: 0.0,
            max_tokens: 10.0,
            floor_per_s: 0.1,
        }
    }
}

/// Limits the retries of one service to a fraction of its requests, or of its answered requests,
/// plus a small floor.
///
/// With a fraction of the answered requests only, a service that is completely down receives little
/// more than one attempt per request.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    tokens: f64,
    refilled_at: BootTime,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(cfg: RetryBudgetConfig, now: BootTime) -> Self {
        Self {
            cfg,
            tokens: cfg.max_tokens,
            refilled_at: now,
        }
    }

    /// Changes the limits; tokens above the new capacity are dropped.
    pub fn set_config(&mut self, cfg: RetryBudgetConfig) {
        self.cfg = cfg;
        self.deposit(0.0);
    }

    /// Adds the tokens earned by a request.
    pub fn record_request(&mut self) {
        self.deposit(self.cfg.request_ratio);
    }

    /// Adds the tokens earned by an answered request.
    pub fn record_answer(&mut self) {
        self.deposit(self.cfg.answer_ratio);
    }

    fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.cfg.max_tokens);
    }

    /// Returns whether the budget is too low for a request that is repeated without a failure: less
    /// than half is left, or no token would remain for a retry where the budget can hold two.
    pub fn is_low(&mut self, now: BootTime) -> bool {
        self.refill(now);
        let max = self.cfg.max_tokens;
        self.tokens < (max / 2.0).max(max.min(2.0))
    }

    fn refill(&mut self, now: BootTime) {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.cfg.floor_per_s;
        self.tokens = (self.tokens + refill).min(self.cfg.max_tokens);
        self.refilled_at = now;
    }

    /// Takes one token if available; returns whether the retry is allowed.
    pub fn try_withdraw(&mut self, now: BootTime) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
