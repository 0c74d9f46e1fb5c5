//! The sequential test of one target.

use std::time::Duration;

use crate::clock::BootTime;

use super::{DecayingSum, Verdict, WorkTotals};

/// Half-life of evidence without new work.
pub const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Shares of otherwise good work that the tested faults turn bad.
pub const FAULT_SHARES: [f64; 2] = [0.2, 0.7];
/// Multiple of the threshold beyond which evidence does not grow.
pub(super) const EVIDENCE_CAP: f64 = 4.0;

/// Weight of slow work. Slow work comes in bursts, while a queue lasts, so that each piece says
/// less than the test of independent pieces takes from it.
pub const SLOW_WEIGHT: f64 = 0.25;
/// Weight of slow work that other daemons are told of; they see the same bursts.
pub(super) const TOLD_SLOW_WEIGHT: f64 = 0.125;

/// Returns the log-likelihood ratio of one piece of work, in nats: a fault that turns
/// `fault_share` of good work bad, against a healthy target with `bad_share` of bad work.
pub fn log_likelihood_ratio(bad: bool, bad_share: f64, fault_share: f64) -> f64 {
    if bad {
        return ((bad_share + (1.0 - bad_share) * fault_share) / bad_share).ln();
    }
    (1.0 - fault_share).ln()
}

/// Cumulative sums of log-likelihood ratios, each never below zero: one per tested share of
/// failures, and one per tested share of slow work among what does not fail.
#[derive(Debug, Clone, Copy, Default)]
pub struct Evidence {
    failed: [DecayingSum; FAULT_SHARES.len()],
    slow: [DecayingSum; FAULT_SHARES.len()],
}

impl Evidence {
    /// Takes in one piece of work at a service that does like `siblings`; no sum exceeds `cap`
    /// nats.
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

    /// Returns the evidence for the likeliest fault, in nats.
    pub fn nats(&self, now: BootTime) -> f64 {
        let all = self.failed.iter().chain(&self.slow);
        let sums = all.map(|s| s.get(now, EVIDENCE_HALF_LIFE));
        sums.fold(0.0, f64::max)
    }

    /// Starts again from `nats`.
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
