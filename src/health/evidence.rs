//! Sequential test of one target.

use std::time::Duration;

use crate::clock::BootTime;

use super::{DecayingSum, Verdict, WorkTotals};

/// Half-life of evidence while no requests arrive.
pub const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Fault models that are tested: the share of otherwise good requests that the fault makes bad.
pub const FAULT_SHARES: [f64; 2] = [0.2, 0.7];
/// Upper bound of the evidence, as a multiple of the threshold.
pub(super) const EVIDENCE_CAP: f64 = 4.0;

/// Weight of slow requests. They come in bursts while a queue lasts, so they are correlated, and
/// each one carries less evidence than the test assumes for independent requests.
pub const SLOW_WEIGHT: f64 = 0.25;
/// Weight of slow requests in reports to other daemons. It is lower than [`SLOW_WEIGHT`] because
/// the other daemons see the same bursts.
pub(super) const REPORTED_SLOW_WEIGHT: f64 = 0.125;

/// Returns the log-likelihood ratio of one request, in nats, of a fault that makes `fault_share`
/// of the good requests bad against a healthy target with a share of `bad_share` bad requests.
pub fn log_likelihood_ratio(bad: bool, bad_share: f64, fault_share: f64) -> f64 {
    if bad {
        return ((bad_share + (1.0 - bad_share) * fault_share) / bad_share).ln();
    }
    (1.0 - fault_share).ln()
}

/// Cumulative sums (CUSUM) of log-likelihood ratios, each with a lower bound of zero. Each fault
/// model has one sum for failures, and one for slow requests among those that did not fail.
#[derive(Debug, Clone, Copy, Default)]
pub struct Evidence {
    failed: [DecayingSum; FAULT_SHARES.len()],
    slow: [DecayingSum; FAULT_SHARES.len()],
}

impl Evidence {
    /// Adds one request to the sums, with the counts of `siblings` as the baseline. Each sum is
    /// limited to `cap` nats.
    pub fn observe(&mut self, verdict: Verdict, siblings: &WorkTotals, cap: f64, now: BootTime) {
        let failed = verdict == Verdict::Failed;
        add_to(
            &mut self.failed,
            failed,
            siblings.failed_share(),
            1.0,
            cap,
            now,
        );
        if !failed {
            let slow = verdict == Verdict::Slow;
            add_to(
                &mut self.slow,
                slow,
                siblings.slow_share(),
                SLOW_WEIGHT,
                cap,
                now,
            );
        }
    }

    /// Returns the evidence of the most likely fault, in nats.
    pub fn nats(&self, now: BootTime) -> f64 {
        let all = self.failed.iter().chain(&self.slow);
        let sums = all.map(|s| s.get(now, EVIDENCE_HALF_LIFE));
        sums.fold(0.0, f64::max)
    }

    /// Sets all sums to `nats`.
    pub fn reset(&mut self, nats: f64, now: BootTime) {
        for sum in self.failed.iter_mut().chain(&mut self.slow) {
            sum.set(nats, now);
        }
    }
}

fn add_to(
    sums: &mut [DecayingSum],
    bad: bool,
    bad_share: f64,
    weight: f64,
    cap: f64,
    now: BootTime,
) {
    for (sum, fault_share) in sums.iter_mut().zip(FAULT_SHARES) {
        let llr = weight * log_likelihood_ratio(bad, bad_share, fault_share);
        let value = sum.get(now, EVIDENCE_HALF_LIFE) + llr;
        sum.set(value.clamp(0.0, cap), now);
    }
}
