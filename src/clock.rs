//! Boot-time clock, which includes time spent in suspend.

use std::{ops::Add, time::Duration};

/// A point in time on the boot-time clock of a host.
///
/// Unlike `std::time::Instant`, it advances while the system is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct BootTime(Duration);

impl BootTime {
    /// Creates the point in time at `since_boot` after boot.
    pub const fn from_duration(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Returns the time elapsed from `earlier` to `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time since boot.
    pub fn as_duration(self) -> Duration {
        self.0
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

/// Source of the current time.
pub trait Clock {
    /// Returns the current time.
    fn now(&self) -> BootTime;
}

/// The kernel clock `CLOCK_BOOTTIME`.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> BootTime {
        let mut ts = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // SAFETY: `ts` is a valid timespec that outlives the call.
        let res = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut ts) };
        debug_assert_eq!(res, 0);
        BootTime(Duration::new(ts.tv_sec as u64, ts.tv_nsec as u32))
    }
}
