//! The circuit breaker of one target.

use std::time::Duration;

use crate::clock::BootTime;

/// Time behind a failure for which a target gets no work.
const HOLD: Duration = Duration::from_secs(2);
/// Time behind a failure for which a target gets idempotent work only, unless some succeeds.
const PROBATION: Duration = Duration::from_secs(9);

/// What work a target may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerState {
    /// Any.
    Closed,
    /// Idempotent requests, which find out whether it works again.
    HalfOpen,
    /// None.
    Open,
}

/// The circuit breaker of one target, which opens when the target breaks off work.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Breaker {
    failed_at: Option<BootTime>,
}

impl Breaker {
    /// Takes note of a failure.
    pub fn fail(&mut self, now: BootTime) {
        self.failed_at = Some(now);
    }

    /// Takes note of a success at `now`; one that comes during the hold may be of work that was
    /// begun before the failure. Tells whether it closed the breaker.
    pub fn succeed(&mut self, now: BootTime) -> bool {
        if self.state(now) != BreakerState::HalfOpen {
            return false;
        }
        self.failed_at = None;
        true
    }

    /// Returns what work the target may get at `now`.
    pub fn state(&self, now: BootTime) -> BreakerState {
        match self.failed_at.map(|at| now.since(at)) {
            Some(age) if age < HOLD => BreakerState::Open,
            Some(age) if age < PROBATION => BreakerState::HalfOpen,
            _ => BreakerState::Closed,
        }
    }

    /// Returns when the last failure was, the start of time when there is none.
    pub fn failed_at(&self) -> BootTime {
        self.failed_at.unwrap_or_default()
    }
}
