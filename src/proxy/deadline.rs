//! Request deadlines.

use std::time::Duration;

use crate::clock::BootTime;

/// The time by which a request must be answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deadline {
    at: BootTime,
}

impl Deadline {
    /// Returns the deadline that ends the shortest of `timeouts`, counted from `now`.
    pub(super) fn earliest(timeouts: &[Option<Duration>], now: BootTime) -> Self {
        let shortest = timeouts.iter().flatten().min();
        Self {
            at: now + shortest.copied().unwrap_or_default(),
        }
    }

    /// Returns the time of the deadline.
    pub(super) fn at(&self) -> BootTime {
        self.at
    }

    /// Returns the time left until the deadline.
    pub(super) fn left(&self, now: BootTime) -> Duration {
        self.at.since(now)
    }

    /// Returns whether the deadline has passed.
    pub(super) fn has_passed(&self, now: BootTime) -> bool {
        self.left(now).is_zero()
    }
}
