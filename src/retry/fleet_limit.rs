//! Limit on the retries that all daemons together send to one service.

use super::RetryBudgetConfig;

/// Share of the limit's ratio that daemons use. The rest covers requests that callers send while
/// their daemons restart, which no budget counts.
const RATIO_SHARE: f64 = 0.9;
/// Share of the limit's slack that daemons hold as full buckets. The rest covers daemons that
/// restart with a full bucket.
const SLACK_SHARE: f64 = 0.5;

/// Limit on the retries that all daemons together send to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryLimit {
    /// Retries for each request to the service.
    pub ratio: f64,
    /// Retries in addition, within any window of the limit.
    pub slack: f64,
}

impl FleetRetryLimit {
    /// Returns the budget of one of `daemons` daemons.
    ///
    /// Each daemon adds tokens for the requests that it receives, so that the ratio holds for the
    /// fleet without messages; the slack is divided.
    pub fn budget(&self, daemons: usize) -> RetryBudgetConfig {
        let slack = self.slack * SLACK_SHARE / daemons.max(1) as f64;
        let request_ratio = self.ratio * RATIO_SHARE;
        RetryBudgetConfig {
            answer_ratio: 0.0,
            request_ratio,
            // The tokens of a request are not lost while a whole one waits to be used.
            max_tokens: slack.max(1.0) + request_ratio,
            floor_per_s: 0.0,
        }
    }
}
