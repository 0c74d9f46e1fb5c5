//! Decaying counts of requests and of their latency.

use std::time::Duration;

use crate::clock::BootTime;

use super::{DecayingSum, Verdict};

/// Half-life of the counts that form the baseline of a service.
pub const BASELINE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Prior share of failed requests.
const PRIOR_FAILED: f64 = 0.01;
/// Prior share of slow requests.
const PRIOR_SLOW: f64 = 0.05;
/// Weight of the priors, in requests.
const PRIOR_REQUESTS: f64 = 20.0;

/// Decaying counts of requests, kept per target and per service.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkCounts {
    failed: DecayingSum,
    slow: DecayingSum,
    all: DecayingSum,
    ln_latency: DecayingSum,
    timed: DecayingSum,
}

/// Counts of requests at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkTotals {
    /// Failed requests.
    pub failed: f64,
    /// Slow requests.
    pub slow: f64,
    /// All requests.
    pub all: f64,
    /// Sum of the natural logarithms of the latencies in seconds.
    pub ln_latency: f64,
    /// Number of requests in `ln_latency`.
    pub timed: f64,
}

impl WorkCounts {
    /// Counts one request; `latency` is given for successful requests only.
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

    /// Subtracts other counts.
    pub fn subtract(&mut self, other: &Self, now: BootTime) {
        let other = other.totals(now);
        self.failed.add(-other.failed, now, BASELINE_HALF_LIFE);
        self.slow.add(-other.slow, now, BASELINE_HALF_LIFE);
        self.all.add(-other.all, now, BASELINE_HALF_LIFE);
        self.ln_latency
            .add(-other.ln_latency, now, BASELINE_HALF_LIFE);
        self.timed.add(-other.timed, now, BASELINE_HALF_LIFE);
    }

    /// Returns the counts at `now`.
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
    /// Returns these counts less those of `own`.
    pub fn without(&self, own: &Self) -> Self {
        Self {
            failed: (self.failed - own.failed).max(0.0),
            slow: (self.slow - own.slow).max(0.0),
            all: (self.all - own.all).max(0.0),
            ln_latency: self.ln_latency - own.ln_latency,
            timed: (self.timed - own.timed).max(0.0),
        }
    }

    /// Returns the expected share of requests that fail, from 0 to 1.
    pub fn failed_share(&self) -> f64 {
        expected_share(self.failed, self.all, PRIOR_FAILED)
    }

    /// Returns the expected share of slow requests among those that don't fail, from 0 to 1.
    pub fn slow_share(&self) -> f64 {
        expected_share(self.slow, self.all - self.failed, PRIOR_SLOW)
    }

    /// Returns the latency above which a request is slow; `None` if too few requests were timed.
    pub fn slow_limit(&self) -> Option<Duration> {
        /// Minimum number of timed requests for a comparison.
        const MIN_TIMED: f64 = 20.0;
        /// Multiple of the geometric mean latency above which a request is slow.
        const SLOW_FACTOR: f64 = 8.0;
        /// Lower bound of the limit, in seconds.
        const MIN_LIMIT_S: f64 = 0.02;
        /// Upper bound of the limit, in seconds.
        const MAX_LIMIT_S: f64 = 3600.0;
        if self.timed < MIN_TIMED {
            return None;
        }
        let mean_s = (self.ln_latency / self.timed).exp();
        let limit = (mean_s * SLOW_FACTOR).clamp(MIN_LIMIT_S, MAX_LIMIT_S);
        Some(Duration::from_secs_f64(limit))
    }
}

/// Returns the expected share of bad requests, which a prior dominates while the counts are low.
fn expected_share(bad: f64, all: f64, prior: f64) -> f64 {
    /// Lower bound, so that a single failure is never strong evidence.
    const MIN_SHARE: f64 = 0.005;
    const MAX_SHARE: f64 = 0.9;
    let share = (bad + prior * PRIOR_REQUESTS) / (all + PRIOR_REQUESTS);
    share.clamp(MIN_SHARE, MAX_SHARE)
}
