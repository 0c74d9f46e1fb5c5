//! The circuit breaker of one target.

use std::time::Duration;

use crate::clock::BootTime;

/// Time behind a failure for which a target gets no work.
const HOLD: Duration = Duration::from_secs(2);
/// Longest further time for which a daemon leaves the first tests to other daemons; half a hold.
pub(super) const MAX_STAGGER: Duration = Duration::from_secs(1);
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
    stagger: Duration,
}

impl Breaker {
    /// Takes note of a failure. This daemon tests the target `stagger` later than it might, so
    /// that the daemons of a fleet do not all test it at once.
    pub fn record_failure(&mut self, now: BootTime, stagger: Duration) {
        self.failed_at = Some(now);
        self.stagger = stagger;
    }

    /// Takes note of a success at `now`; one that comes during the hold may be of work that was
    /// begun before the failure. Tells whether it closed the breaker.
    pub fn record_success(&mut self, now: BootTime) -> bool {
        if self.state(now) != BreakerState::HalfOpen {
            return false;
        }
        self.failed_at = None;
        true
    }

    /// Tells whether this daemon is to find out at `now` whether the target works again.
    pub fn is_test_due(&self, now: BootTime) -> bool {
        let age = self.failed_at.map(|at| now.since(at));
        self.state(now) == BreakerState::HalfOpen && age >= Some(HOLD + self.stagger)
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
