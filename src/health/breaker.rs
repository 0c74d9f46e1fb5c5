//! Circuit breaker of one target.

use std::time::Duration;

use crate::clock::BootTime;

/// Time after a failure for which the breaker is open.
const OPEN_TIME: Duration = Duration::from_secs(2);
/// Maximum extra delay before this daemon sends the first test request, so that the daemons of a
/// fleet do not all test the target at once; half of [`OPEN_TIME`].
pub(super) const MAX_STAGGER: Duration = Duration::from_secs(1);
/// Time after a failure at which the breaker closes without a success.
const CLOSE_AFTER: Duration = Duration::from_secs(9);

/// State of a circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerState {
    /// The target may receive all requests.
    Closed,
    /// The target may receive idempotent requests, which test whether it has recovered.
    HalfOpen,
    /// The target receives no requests.
    Open,
}

/// Circuit breaker of one target, which opens when the target aborts a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Breaker {
    failed_at: Option<BootTime>,
    stagger: Duration,
}

impl Breaker {
    /// Records a failure. This daemon delays its test of the target by `stagger`, so that the
    /// daemons of a fleet do not all test it at once.
    pub fn record_failure(&mut self, now: BootTime, stagger: Duration) {
        self.failed_at = Some(now);
        self.stagger = stagger;
    }

    /// Records a success; returns whether it closed the breaker. A success while the breaker is
    /// open is ignored, because its request may have started before the failure.
    pub fn record_success(&mut self, now: BootTime) -> bool {
        if self.state(now) != BreakerState::HalfOpen {
            return false;
        }
        self.failed_at = None;
        true
    }

    /// Returns whether this daemon should test at `now` whether the target has recovered.
    pub fn is_test_due(&self, now: BootTime) -> bool {
        let age = self.failed_at.map(|at| now.since(at));
        self.state(now) == BreakerState::HalfOpen && age >= Some(OPEN_TIME + self.stagger)
    }

    /// Returns the state at `now`.
    pub fn state(&self, now: BootTime) -> BreakerState {
        match self.failed_at.map(|at| now.since(at)) {
            Some(age) if age < OPEN_TIME => BreakerState::Open,
            Some(age) if age < CLOSE_AFTER => BreakerState::HalfOpen,
            _ => BreakerState::Closed,
        }
    }

    /// Returns the time of the last failure, or the earliest time if there was none.
    pub fn failed_at(&self) -> BootTime {
        self.failed_at.unwrap_or_default()
    }
}
