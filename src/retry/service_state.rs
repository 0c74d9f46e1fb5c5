//! What retries need to know of one service.

use std::time::Duration;

use crate::clock::BootTime;

use super::{LatencyWindow, RetryBudget, RetryBudgetConfig};

/// What retries need to know of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRetryState {
    budget: RetryBudget,
    latencies: LatencyWindow,
}

impl ServiceRetryState {
    /// Makes the state of a service of which nothing is known.
    pub fn new(cfg: RetryBudgetConfig, now: BootTime) -> Self {
        Self {
            budget: RetryBudget::new(cfg, now),
            latencies: LatencyWindow::default(),
        }
    }

    /// Takes note of an answer.
    pub fn record_answer(&mut self, latency: Duration) {
        self.budget.deposit();
        self.latencies.record(latency);
    }

    /// Takes one retry, and tells whether it was granted.
    pub fn try_withdraw_retry(&mut self, now: BootTime) -> bool {
        self.budget.try_withdraw(now)
    }

    /// Returns the time after which a connection counts as silent.
    pub fn silence_timeout(&self) -> Duration {
        self.latencies.silence_timeout()
    }
}
