//! A token that was taken for one request.

use std::time::Duration;

use crate::clock::BootTime;

/// A token that was taken for one request; void when it is not used in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// When the grant becomes void.
    pub valid_until: BootTime,
    /// Time for which the grant may be used, from when it was asked for.
    pub life: Duration,
}

impl Grant {
    /// Makes a grant that never becomes void, for limiters that promise less.
    pub const UNLIMITED: Self = Self {
        valid_until: BootTime::from_duration(Duration::MAX),
        life: Duration::MAX,
    };

    /// Returns the grant as the asker holds it, which counts the life from before it asked.
    pub fn asked_at(life: Duration, asked: BootTime) -> Self {
        Self {
            valid_until: asked + life,
            life,
        }
    }

    /// Tells whether the grant may be used at `now`.
    pub fn is_valid(&self, now: BootTime) -> bool {
        now < self.valid_until
    }
}
