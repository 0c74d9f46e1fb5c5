//! Counts of recent work and its latency.

use std::time::Duration;

use crate::clock::BootTime;

use super::Decayed;

/// Half-life of the counts that siblings are compared by.
pub const BASELINE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Decayed counts of work, kept per target and per service.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkCounts {
    bad: Decayed,
    all: Decayed,
    ln_latency: Decayed,
    timed: Decayed,
}

/// The counts as of one point of time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkTotals {
    /// Work that failed or was slow.
    pub bad: f64,
    /// All work.
    pub all: f64,
    /// Sum of the natural logarithms of latencies in seconds.
    pub ln_latency: f64,
    /// Work that `ln_latency` sums over.
    pub timed: f64,
}

impl WorkCounts {
    /// Counts one piece of work; a latency is given only for work that ended well.
    pub fn count(&mut self, bad: bool, latency: Option<Duration>, now: BootTime) {
        self.all.add(1.0, now, BASELINE_HALF_LIFE);
        if bad {
            self.bad.add(1.0, now, BASELINE_HALF_LIFE);
        }
        if let Some(latency) = latency {
            let ln = latency.as_secs_f64().max(1e-6).ln();
            self.ln_latency.add(ln, now, BASELINE_HALF_LIFE);
            self.timed.add(1.0, now, BASELINE_HALF_LIFE);
        }
    }

    /// Takes other counts out of these.
    pub fn subtract(&mut self, other: &Self, now: BootTime) {
        let other = other.totals(now);
        self.bad.add(-other.bad, now, BASELINE_HALF_LIFE);
        self.all.add(-other.all, now, BASELINE_HALF_LIFE);
        self.ln_latency
            .add(-other.ln_latency, now, BASELINE_HALF_LIFE);
        self.timed.add(-other.timed, now, BASELINE_HALF_LIFE);
    }

    /// Returns the counts as of `now`.
    pub fn totals(&self, now: BootTime) -> WorkTotals {
        WorkTotals {
            bad: self.bad.get(now, BASELINE_HALF_LIFE),
            all: self.all.get(now, BASELINE_HALF_LIFE),
            ln_latency: self.ln_latency.get(now, BASELINE_HALF_LIFE),
            timed: self.timed.get(now, BASELINE_HALF_LIFE),
        }
    }
}

impl WorkTotals {
    /// Returns what is left without `own`.
    pub fn without(&self, own: &Self) -> Self {
        Self {
            bad: (self.bad - own.bad).max(0.0),
            all: (self.all - own.all).max(0.0),
            ln_latency: self.ln_latency - own.ln_latency,
            timed: (self.timed - own.timed).max(0.0),
        }
    }

    /// Returns the share of bad work to expect, from 0 to 1, with a prior of 1% for few counts.
    pub fn bad_share(&self) -> f64 {
        /// Bad work of the prior.
        const PRIOR_BAD: f64 = 0.2;
        /// All work of the prior.
        const PRIOR_ALL: f64 = 20.0;
        /// Least share, so that one failure never proves anything.
        const LEAST: f64 = 0.005;
        /// Greatest share.
        const GREATEST: f64 = 0.9;
        let share = (self.bad + PRIOR_BAD) / (self.all + PRIOR_ALL);
        share.clamp(LEAST, GREATEST)
    }

    /// Returns the latency beyond which work is slow; none without enough counts.
    pub fn slow_limit(&self) -> Option<Duration> {
        /// Work that is needed for a comparison.
        const LEAST_TIMED: f64 = 8.0;
        /// Multiple of the geometric mean.
        const SLOW_FACTOR: f64 = 6.0;
        /// Latency that is never slow, s.
        const NEVER_SLOW_S: f64 = 0.02;
        if self.timed < LEAST_TIMED {
            return None;
        }
        let typical = (self.ln_latency / self.timed).exp();
        let limit = (typical * SLOW_FACTOR).clamp(NEVER_SLOW_S, 3600.0);
        Some(Duration::from_secs_f64(limit))
    }
}
