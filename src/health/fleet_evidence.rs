//! Sequential test of the targets of a service over the requests of all daemons.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::evidence::{log_likelihood_ratio, FAULT_SHARES};

/// Upper bound of the evidence from one daemon, as a fraction of the threshold.
const DAEMON_CAP: f64 = 0.25;
/// Upper bound of the evidence from one data centre, as a fraction of the threshold.
const DATA_CENTRE_CAP: f64 = 0.6;
/// Multiple of the siblings' mean evidence that is attributed to the service, and so not held
/// against the target.
const SIBLING_WEIGHT: f64 = 3.0;
/// Evidence from which a sibling counts as suspect, as a fraction of the threshold.
const SUSPECT_SIBLING: f64 = 0.25;
/// Share of suspect siblings above which the fault is attributed to the service.
const SUSPECT_SHARE: f64 = 0.34;
/// Minimum time between two alarms for one target.
const ALARM_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of the evidence, as a multiple of the threshold.
const EVIDENCE_CAP: f64 = 4.0;

/// Evidence against one target from the requests of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct EvidenceReport<'a> {
    /// Name of the target.
    pub target: &'a str,
    /// Number of targets of the service.
    pub siblings: u32,
    /// Host of the daemon.
    pub host: &'a str,
    /// Data centre of the daemon.
    pub data_centre: &'a str,
    /// New evidence from bad requests, in nats.
    pub nats: f64,
    /// Request rate that the whole fleet is expected to send to each target of the service, in 1/s.
    pub expected_per_s: f64,
}

#[derive(Debug, Clone)]
struct Contribution {
    host: Rc<str>,
    data_centre: Rc<str>,
    nats: f64,
}

#[derive(Debug, Default)]
struct TargetEvidence {
    contributions: Vec<Contribution>,
    at: BootTime,
    expected_per_s: f64,
    alarmed_at: Option<BootTime>,
}

/// Aggregates the evidence of all daemons against the targets of one service.
///
/// Daemons report only bad requests. Good requests are not reported: they are assumed to arrive at
/// the expected request rate of the fleet, and lower the evidence as time passes.
#[derive(Debug)]
pub struct FleetEvidence {
    threshold: f64,
    targets: FxHashMap<Rc<str>, TargetEvidence>,
}

impl FleetEvidence {
    /// Creates an empty aggregate that raises an alarm at `threshold` nats.
    pub fn new(threshold: f64) -> Self {
        Self {
            threshold,
            targets: FxHashMap::default(),
        }
    }

    /// Adds a report; returns whether it raises an alarm for the target.
    pub fn add_report(&mut self, report: &EvidenceReport<'_>, now: BootTime) -> bool {
        let threshold = self.threshold;
        let evidence = self.targets.entry(Rc::from(report.target)).or_default();
        evidence.decay(now);
        evidence.expected_per_s = report.expected_per_s;
        evidence.add(report, DAEMON_CAP * threshold);
        if evidence
            .alarmed_at
            .is_some_and(|at| now.since(at) < ALARM_INTERVAL)
        {
            return false;
        }
        if self.is_service_fault(report, now) {
            return false;
        }
        let own = self.targets[report.target].capped(threshold, now);
        if own - SIBLING_WEIGHT * self.sibling_mean(report, now) < threshold {
            return false;
        }
        if let Some(evidence) = self.targets.get_mut(report.target) {
            evidence.alarmed_at = Some(now);
            evidence.contributions.clear();
        }
        true
    }

    /// Returns whether so many siblings are suspect that the fault is one of the service.
    fn is_service_fault(&self, report: &EvidenceReport<'_>, now: BootTime) -> bool {
        let min_nats = SUSPECT_SIBLING * self.threshold;
        let nats = self.sibling_nats(report, now);
        let suspect = nats.filter(|nats| *nats >= min_nats).count() as f64;
        suspect > SUSPECT_SHARE * f64::from(report.siblings.saturating_sub(1))
    }

    fn sibling_nats<'a>(
        &'a self,
        report: &'a EvidenceReport<'_>,
        now: BootTime,
    ) -> impl Iterator<Item = f64> + 'a {
        let others = self
            .targets
            .iter()
            .filter(|(name, _)| ***name != *report.target);
        others.map(move |(_, s)| s.capped(self.threshold, now))
    }

    fn sibling_mean(&self, report: &EvidenceReport<'_>, now: BootTime) -> f64 {
        let total: f64 = self.sibling_nats(report, now).sum();
        total / f64::from(report.siblings.saturating_sub(1).max(1))
    }

    /// Returns whether there is no evidence against any target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Removes the evidence of targets without a report for `limit` or longer.
    pub fn remove_older(&mut self, limit: Duration, now: BootTime) {
        self.targets.retain(|_, s| now.since(s.at) < limit);
    }
}

impl TargetEvidence {
    /// Returns the fraction of the evidence that remains at `now`.
    fn remaining_fraction(&self, now: BootTime) -> f64 {
        let total: f64 = self.contributions.iter().map(|p| p.nats).sum();
        let good = self.expected_per_s * now.since(self.at).as_secs_f64();
        let drift = good * log_likelihood_ratio(false, 0.0, FAULT_SHARES[0]);
        if total <= 0.0 {
            return 0.0;
        }
        ((total + drift) / total).max(0.0)
    }

    fn decay(&mut self, now: BootTime) {
        let remaining = self.remaining_fraction(now);
        for contribution in &mut self.contributions {
            contribution.nats *= remaining;
        }
        self.contributions.retain(|p| p.nats > 0.0);
        self.at = self.at.max(now);
    }

    fn add(&mut self, report: &EvidenceReport<'_>, cap: f64) {
        let known = self
            .contributions
            .iter_mut()
            .find(|p| *p.host == *report.host);
        if let Some(contribution) = known {
            contribution.nats = (contribution.nats + report.nats).min(cap);
            return;
        }
        self.contributions.push(Contribution {
            host: Rc::from(report.host),
            data_centre: Rc::from(report.data_centre),
            nats: report.nats.min(cap),
        });
    }

    /// Returns the total evidence that remains at `now`. The evidence of the data centre with the
    /// most is limited to its cap or to the sum of the others, whichever is larger.
    fn capped(&self, threshold: f64, now: BootTime) -> f64 {
        let mut data_centres: FxHashMap<&str, f64> = FxHashMap::default();
        for contribution in &self.contributions {
            *data_centres.entry(&contribution.data_centre).or_default() += contribution.nats;
        }
        let cap = DATA_CENTRE_CAP * threshold;
        let mut sums: Vec<f64> = data_centres.into_values().collect();
        sums.sort_by(f64::total_cmp);
        let largest = sums.pop().unwrap_or(0.0);
        let rest: f64 = sums.iter().sum();
        let total = largest.min(cap.max(rest)) + rest;
        (total * self.remaining_fraction(now)).min(EVIDENCE_CAP * threshold)
    }
}
