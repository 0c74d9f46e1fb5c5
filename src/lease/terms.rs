//! Durations of leases.

use std::time::Duration;

/// Minimum time between two renewals.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two renewals per daemon of the fleet, which limits the fleet to 200 writes per
/// second.
const RENEWAL_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(5);
/// Number of renewal intervals in one short term.
const RENEWALS_PER_SHORT_TERM: u32 = 4;
/// Time for which the retained portions may be used without renewal.
const LONG_TERM: Duration = Duration::from_secs(4 * 3600);
/// Safety margin that observers add to each term before they consider it over.
const MARGIN: Duration = Duration::from_millis(100);
/// Divisor of a term that yields the time, 1 / 100 of the term, added by observers for clock drift.
const DRIFT_DIVISOR: u32 = 100;

/// The terms of one renewal; they are stored with it, so that all daemons use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Time for which all owned portions may be used.
    pub short: Duration,
    /// Time for which the retained portions may be used; it starts together with the short term.
    pub long: Duration,
}

impl LeaseTerms {
    /// Returns the terms for a fleet of `daemons`.
    pub fn for_fleet_size(daemons: usize) -> Self {
        Self {
            short: Self::renewal_interval(daemons) * RENEWALS_PER_SHORT_TERM,
            long: LONG_TERM,
        }
    }

    /// Returns the time between two renewals for a fleet of `daemons`.
    pub fn renewal_interval(daemons: usize) -> Duration {
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        RENEWAL_INTERVAL_PER_DAEMON
            .saturating_mul(daemons)
            .max(MIN_RENEWAL_INTERVAL)
    }

    /// Returns how long an observer waits before it considers `term` over on every clock.
    pub fn expiry_wait(term: Duration) -> Duration {
        term + term / DRIFT_DIVISOR + MARGIN
    }
}
