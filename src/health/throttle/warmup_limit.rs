//! The limit on the requests of the whole fleet that a cold target takes.

use std::time::Duration;

use crate::{clock::BootTime, limit::TokenBucket};

use super::{FleetShare, MAX_WAIT};

/// Requests that a daemon may send at once.
const BURST: f64 = 1.0;
/// Daemons that may be selected in addition for some seconds, as copies of the member list differ.
const EXTRA_DAEMONS: f64 = 1.0;
/// Amount by which the fleet stays below the operator's limit.
const MARGIN: f64 = 0.01;

/// How much a cold target of a service takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceWarmup {
    /// Time for which a target is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold target takes from the whole fleet.
    pub rate_per_s: f64,
}

/// The operator's tolerance above the rate that a cold target takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupTolerance {
    /// Factor of the rate.
    pub over: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl WarmupTolerance {
    /// Returns the requests that a cold target may get in any span of one second.
    pub fn max_per_s(&self, rate_per_s: f64) -> f64 {
        rate_per_s * self.over + self.slack
    }
}

/// How the daemons share the rate of one cold target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupTerms {
    /// Time for which a target is cold after its start.
    pub duration: Duration,
    /// Requests per second of all selected daemons together.
    pub rate_per_s: f64,
    /// Number of daemons that are selected in a fleet that has so many.
    pub daemons: usize,
}

impl WarmupTerms {
    /// Returns the terms for a service.
    ///
    /// In any second each selected daemon sends at most one request ahead and its part of the rate,
    /// so that all of them send their number plus the rate. With one daemon to spare this stays
    /// below the operator's limit. If the limit is too low for one daemon at the full rate, that
    /// daemon has a lower rate, or none.
    pub fn new(warmup: ServiceWarmup, tolerance: WarmupTolerance) -> Self {
        let most = tolerance.max_per_s(warmup.rate_per_s) - EXTRA_DAEMONS - MARGIN;
        let daemons = (most - warmup.rate_per_s).floor().max(1.0);
        Self {
            duration: warmup.duration,
            rate_per_s: warmup.rate_per_s.min(most - daemons).max(0.0),
            daemons: daemons as usize,
        }
    }
}

/// The limit of one cold target, and this daemon's part of it.
#[derive(Debug, Clone)]
pub(super) struct WarmupLimit {
    pub(super) until: BootTime,
    pub(super) terms: WarmupTerms,
    /// This daemon's part; `None` if it is not selected, or its share is not known yet.
    bucket: Option<TokenBucket>,
}

impl WarmupLimit {
    /// Creates a limit of which this daemon has no part until [`WarmupLimit::set_share`].
    pub(super) fn new(until: BootTime, terms: WarmupTerms) -> Self {
        Self {
            until,
            terms,
            bucket: None,
        }
    }

    /// Sets this daemon's part. A part that it did not have begins without a token, so that a
    /// daemon that restarts, or that comes back to the selected ones, sends no more than before.
    pub(super) fn set_share(&mut self, share: FleetShare, now: BootTime) {
        let rate = share.part_of(self.terms.rate_per_s, self.terms.daemons);
        let rate = rate.filter(|rate| *rate > 0.0);
        match (&mut self.bucket, rate) {
            (Some(bucket), Some(rate)) => bucket.set_limits(rate, BURST, now),
            (bucket, rate) => *bucket = rate.map(|rate| TokenBucket::new(rate, BURST, 0.0, now)),
        }
    }

    /// Returns whether this daemon has a part of the limit.
    pub(super) fn is_selected(&self) -> bool {
        self.bucket.is_some()
    }

    /// Returns the time until this daemon may send a request. Without a part of the limit, this is
    /// the time in which the fleet sends one, as another daemon may take the request.
    pub(super) fn wait(&self, now: BootTime) -> Duration {
        let wait = match &self.bucket {
            Some(bucket) => bucket.wait(now),
            None => Duration::try_from_secs_f64(1.0 / self.terms.rate_per_s).unwrap_or(MAX_WAIT),
        };
        wait.min(MAX_WAIT)
    }

    /// Returns whether this daemon has a token.
    pub(super) fn has_token(&self, now: BootTime) -> bool {
        let bucket = self.bucket.as_ref();
        bucket.is_some_and(|bucket| bucket.wait(now).is_zero())
    }

    /// Takes a token; returns whether there was one.
    pub(super) fn take(&mut self, now: BootTime) -> bool {
        let bucket = self.bucket.as_mut();
        bucket.is_some_and(|bucket| bucket.take(now).is_ok())
    }
}
