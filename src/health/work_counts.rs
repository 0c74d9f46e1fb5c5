//! Counts of recent work and its latency.

use std::time::Duration;

use crate::clock::BootTime;

use super::{DecayingSum, Verdict};

/// Half-life of the counts that siblings are compared by.
pub const BASELINE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Share of failures to expect without any counts.
const PRIOR_FAILED: f64 = 0.01;
/// Share of slow work to expect without any counts.
const PRIOR_SLOW: f64 = 0.05;
/// Work by which the prior shares weigh.
const PRIOR_WORK: f64 = 20.0;

/// DecayingSum counts of work, kept per target and per service.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkCounts {
    failed: DecayingSum,
    slow: DecayingSum,
    all: DecayingSum,
    ln_latency: DecayingSum,
    timed: DecayingSum,
}

/// The counts as of one point of time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkTotals {
    /// Work that failed.
    pub failed: f64,
    /// Work that was slow.
    pub slow: f64,
    /// All work.
    pub all: f64,
    /// Sum of the natural logarithms of latencies in seconds.
    pub ln_latency: f64,
    /// Work that `ln_latency` sums over.
    pub timed: f64,
}

impl WorkCounts {
    /// Counts one piece of work; a latency is given only for work that ended well.
    pub fn record(&mut self, verdict: Verdict, latency: Option<Duration>, now: BootTime) {
        self.all.add(1.0, now, BASELINE_HALF_LIFE);
        match verdict {
            Verdict::Good => {}
            Verdict::Slow => self.slow.add(1.0, now, BASELINE_HALF_LIFE),
            Verdict::Failed => self.failed.add(1.0, now, BASELINE_HALF_LIFE),
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
        self.failed.add(-other.failed, now, BASELINE_HALF_LIFE);
        self.slow.add(-other.slow, now, BASELINE_HALF_LIFE);
        self.all.add(-other.all, now, BASELINE_HALF_LIFE);
        self.ln_latency
            .add(-other.ln_latency, now, BASELINE_HALF_LIFE);
        self.timed.add(-other.timed, now, BASELINE_HALF_LIFE);
    }

    /// Returns the counts as of `now`.
    pub fn totals(&self, now: BootTime) -> WorkTotals {
        WorkTotals {
            failed: self.failed.get(now, BASELINE_HALF_LIFE),
            slow: self.slow.get(now, BASELINE_HALF_LIFE),
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
            failed: (self.failed - own.failed).max(0.0),
            slow: (self.slow - own.slow).max(0.0),
            all: (self.all - own.all).max(0.0),
            ln_latency: self.ln_latency - own.ln_latency,
            timed: (self.timed - own.timed).max(0.0),
        }
    }

    /// Returns the share of work to expect to fail, from 0 to 1.
    pub fn failed_share(&self) -> f64 {
        expected_share(self.failed, self.all, PRIOR_FAILED)
    }

    /// Returns the share of work that does not fail to expect to be slow, from 0 to 1.
    pub fn slow_share(&self) -> f64 {
        expected_share(self.slow, self.all - self.failed, PRIOR_SLOW)
    }

    /// Returns the latency beyond which work is slow; none without enough counts.
    pub fn slow_limit(&self) -> Option<Duration> {
        /// Work that is needed for a comparison.
        const LEAST_TIMED: f64 = 20.0;
        /// Multiple of the geometric mean.
        const SLOW_FACTOR: f64 = 8.0;
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

/// Returns the share to expect, with a prior share for few counts.
fn expected_share(bad: f64, all: f64, prior: f64) -> f64 {
    /// Least share, so that one failure never proves anything.
    const LEAST: f64 = 0.005;
    /// Greatest share.
    const GREATEST: f64 = 0.9;
    let share = (bad + prior * PRIOR_WORK) / (all + PRIOR_WORK);
    share.clamp(LEAST, GREATEST)
}
