//! Deadlines of requests.

use std::time::Duration;

use crate::clock::BootTime;

/// The time by which a request must have an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deadline {
    at: BootTime,
}

impl Deadline {
    /// Returns the deadline after the shortest of `times`, which start now.
    pub(super) fn earliest(times: &[Option<Duration>], now: BootTime) -> Self {
        let shortest = times.iter().flatten().min();
        Self {
            at: now + shortest.copied().unwrap_or_default(),
        }
    }

    /// Returns the point of time.
    pub(super) fn at(&self) -> BootTime {
        self.at
    }

    /// Returns the time that is left.
    pub(super) fn left(&self, now: BootTime) -> Duration {
        self.at.since(now)
    }

    /// Tells whether no time is left.
    pub(super) fn has_passed(&self, now: BootTime) -> bool {
        self.left(now).is_zero()
    }
}
