//! A token that was taken for one request.

use std::time::Duration;

use crate::clock::BootTime;

/// A token that was taken for one request; void when it is not used in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// When the grant becomes void.
    pub valid_until: BootTime,
    /// Time for which the grant may be used, from when it was asked for.
    pub lifetime: Duration,
}

impl Grant {
    /// Makes a grant that never becomes void, for limiters that promise less.
    pub const NON_EXPIRING: Self = Self {
        valid_until: BootTime::from_duration(Duration::MAX),
        lifetime: Duration::MAX,
    };

    /// Returns the grant as the asker holds it, which counts the life from before it asked.
    pub fn from_request(lifetime: Duration, requested_at: BootTime) -> Self {
        Self {
            valid_until: requested_at + lifetime,
            lifetime,
        }
    }

    /// Tells whether the grant may be used at `now`.
    pub fn is_valid(&self, now: BootTime) -> bool {
        now < self.valid_until
    }
}
