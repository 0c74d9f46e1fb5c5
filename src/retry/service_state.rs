//! What retries need to know of one service.

use std::time::Duration;

use crate::clock::BootTime;

use super::{LatencyWindow, RetryBudget, RetryTerms};

/// What retries need to know of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceState {
    budget: RetryBudget,
    latencies: LatencyWindow,
}

impl ServiceState {
    /// Makes the state of a service of which nothing is known.
    pub fn new(terms: RetryTerms, now: BootTime) -> Self {
        Self {
            budget: RetryBudget::new(terms, now),
            latencies: LatencyWindow::default(),
        }
    }

    /// Takes note of an answer.
    pub fn record_answer(&mut self, latency: Duration) {
        self.budget.deposit();
        self.latencies.record(latency);
    }

    /// Takes one retry, and tells whether it was granted.
    pub fn withdraw(&mut self, now: BootTime) -> bool {
        self.budget.withdraw(now)
    }

    /// Returns the time after which a connection counts as silent.
    pub fn silence(&self) -> Duration {
        self.latencies.silence()
    }
}
