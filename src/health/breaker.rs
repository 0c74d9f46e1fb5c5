//! The circuit breaker of one target.

use std::time::Duration;

use crate::clock::BootTime;

/// Time behind a failure for which a target surely gets no work.
const FIRST_HOLD: Duration = Duration::from_secs(2);
/// Longest time behind a failure for which a target gets no work.
const LONGEST_HOLD: Duration = Duration::from_secs(6);
/// Time without a failure behind which the next one counts as the first.
const MEMORY: Duration = Duration::from_secs(10);

/// The circuit breaker of one target: it opens when the target breaks off work, and stays open
/// for longer when the target does so again.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Breaker {
    failures: u32,
    failed_at: Option<BootTime>,
    open_until: BootTime,
}

impl Breaker {
    /// Takes note of a failure; one that comes while the breaker is open belongs to the last one.
    pub fn fail(&mut self, now: BootTime) {
        let is_known = self.is_open(now);
        let forgotten = self.failed_at.is_none_or(|at| now.since(at) > MEMORY);
        if forgotten {
            self.failures = 0;
        }
        if !is_known || self.failures == 0 {
            self.failures += 1;
        }
        self.failed_at = Some(now);
        let hold = FIRST_HOLD.saturating_mul(self.failures).min(LONGEST_HOLD);
        self.open_until = now + hold;
    }

    /// Tells whether the target gets no work at `now`.
    pub fn is_open(&self, now: BootTime) -> bool {
        now < self.open_until
    }

    /// Tells whether the target failed so shortly before `now` that it cannot count as healthy.
    pub fn failed_lately(&self, now: BootTime) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) < FIRST_HOLD)
    }

    /// Returns when the breaker closes.
    pub fn open_until(&self) -> BootTime {
        self.open_until
    }
}
