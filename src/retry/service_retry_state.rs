//! Retry state of one service.

use std::time::Duration;

use crate::clock::BootTime;

use super::{LatencyWindow, RetryBudget, RetryBudgetConfig};

/// Retry budget and recent latencies of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRetryState {
    budget: RetryBudget,
    latencies: LatencyWindow,
}

impl ServiceRetryState {
    /// Creates the state of a service without any recorded requests.
    pub fn new(cfg: RetryBudgetConfig, now: BootTime) -> Self {
        Self {
            budget: RetryBudget::new(cfg, now),
            latencies: LatencyWindow::default(),
        }
    }

    /// Changes the limits on retries.
    pub fn set_budget(&mut self, cfg: RetryBudgetConfig) {
        self.budget.set_config(cfg);
    }

    /// Records a request that is about to be sent to a target for the first time.
    pub fn record_request(&mut self) {
        self.budget.record_request();
    }

    /// Records an answered request.
    pub fn record_answer(&mut self, latency: Duration) {
        self.budget.record_answer();
        self.latencies.record(latency);
    }

    /// Takes one retry from the budget; returns whether it is allowed.
    pub fn try_withdraw_retry(&mut self, now: BootTime) -> bool {
        self.budget.try_withdraw(now)
    }

    /// Returns whether the budget is too low for hedged requests.
    pub fn is_budget_low(&mut self, now: BootTime) -> bool {
        self.budget.is_low(now)
    }

    /// Returns the time after which a connection is considered silent.
    pub fn silence_timeout(&self) -> Duration {
        self.latencies.silence_timeout()
    }
}
