//! How long leases last.

use std::time::Duration;

/// Shortest time between two renewals.
const MIN_PERIOD: Duration = Duration::from_secs(1);
/// Time between two renewals per daemon of the fleet, which bounds the writes to 200 a second.
const PERIOD_PER_DAEMON: Duration = Duration::from_millis(5);
/// Renewal periods in one short term.
const PERIODS_PER_SHORT_TERM: u32 = 4;
/// Time for which the kept part may be used without renewal.
const LONG_TERM: Duration = Duration::from_secs(4 * 3600);
/// Added to each term by those who wait for its end.
const MARGIN: Duration = Duration::from_millis(100);
/// Part of each term added for clocks that run at different speeds, 1 / 100.
const DRIFT_DIVISOR: u32 = 100;

/// The terms of one renewal; they are written with it, so that all daemons agree on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Time for which everything owned may be used.
    pub short: Duration,
    /// Time for which the kept part may be used; it begins together with the short term.
    pub long: Duration,
}

impl LeaseTerms {
    /// Returns the terms in a fleet of `daemons`.
    pub fn for_fleet_size(daemons: usize) -> Self {
        Self {
            short: Self::renewal_interval(daemons) * PERIODS_PER_SHORT_TERM,
            long: LONG_TERM,
        }
    }

    /// Returns the time between two renewals in a fleet of `daemons`.
    pub fn renewal_interval(daemons: usize) -> Duration {
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        PERIOD_PER_DAEMON.saturating_mul(daemons).max(MIN_PERIOD)
    }

    /// Returns how long another host waits until `term` is surely over.
    pub fn expiry_wait(term: Duration) -> Duration {
        term + term / DRIFT_DIVISOR + MARGIN
    }
}
