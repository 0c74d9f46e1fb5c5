//! Deadlines of requests.

use std::time::Duration;

use http::HeaderMap;

use crate::clock::BootTime;

use super::headers::DEADLINE_MS;

/// The time by which a request must have an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deadline {
    at: BootTime,
}

impl Deadline {
    /// Returns the deadline that the caller names, but at most `max` from now.
    pub(super) fn of_request(headers: &HeaderMap, max: Duration, now: BootTime) -> Self {
        let named = headers
            .get(DEADLINE_MS)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok())
            .map(Duration::from_millis);
        Self {
            at: now + named.unwrap_or(max).min(max),
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
