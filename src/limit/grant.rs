//! Permission to run one request.

use std::time::Duration;

use crate::clock::BootTime;

/// A token taken for one request; it expires if it is not used in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Time at which the grant expires.
    pub valid_until: BootTime,
    /// Time for which the grant is valid, counted from when it was requested.
    pub lifetime: Duration,
}

impl Grant {
    /// A grant that never expires, for limiters that do not bound the delay between grant and use.
    pub const NON_EXPIRING: Self = Self {
        valid_until: BootTime::from_duration(Duration::MAX),
        lifetime: Duration::MAX,
    };

    /// Creates the requester's copy of a grant, which counts `lifetime` from before the request
    /// was sent, so that it never outlasts the owner's own count.
    pub fn from_request(lifetime: Duration, requested_at: BootTime) -> Self {
        Self {
            valid_until: requested_at + lifetime,
            lifetime,
        }
    }

    /// Returns whether the grant is valid at `now`.
    pub fn is_valid(&self, now: BootTime) -> bool {
        now < self.valid_until
    }
}
