//! The sequential test of the targets of a service over the work of all daemons.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::evidence::{log_likelihood_ratio, FAULT_SHARES};

/// Most of the threshold that one daemon can bring.
const DAEMON_CAP: f64 = 0.25;
/// Most of the threshold that one data centre can bring.
const DATA_CENTRE_CAP: f64 = 0.6;
/// Multiple of the siblings' mean evidence that is the service's, not the target's.
const SIBLING_WEIGHT: f64 = 3.0;
/// Part of the threshold from which a sibling is suspect itself.
const SUSPECT_SIBLING: f64 = 0.25;
/// Most of the siblings that may be suspect themselves when a target's faults are its own.
const SUSPECT_SHARE: f64 = 0.34;
/// Time between two alarms for one target.
const ALARM_INTERVAL: Duration = Duration::from_secs(1);
/// Multiple of the threshold beyond which evidence does not grow.
const EVIDENCE_CAP: f64 = 4.0;

/// Evidence of one daemon's work against one target.
#[derive(Debug, Clone, PartialEq)]
pub struct EvidenceReport<'a> {
    /// Name of the target.
    pub target: &'a str,
    /// Count of targets of the service.
    pub siblings: u32,
    /// Host of the daemon.
    pub host: &'a str,
    /// Data centre of the daemon.
    pub data_centre: &'a str,
    /// New evidence of bad work, nats.
    pub nats: f64,
    /// Work that the whole fleet is expected to give each target of the service, 1/s.
    pub expected_per_s: f64,
}

#[derive(Debug, Clone)]
struct Part {
    host: Rc<str>,
    data_centre: Rc<str>,
    nats: f64,
}

#[derive(Debug, Default)]
struct Sum {
    parts: Vec<Part>,
    at: BootTime,
    expected_per_s: f64,
    alarmed_at: Option<BootTime>,
}

/// Sums up the evidence of all daemons against the targets of one service.
///
/// Daemons report bad work only. Good work is not reported: it is expected at the rate at which
/// the fleet works, and lowers the evidence as time passes.
#[derive(Debug)]
pub struct FleetEvidence {
    threshold: f64,
    sums: FxHashMap<Rc<str>, Sum>,
}

impl FleetEvidence {
    /// Makes an empty sum that alarms at `threshold` nats.
    pub fn new(threshold: f64) -> Self {
        Self {
            threshold,
            sums: FxHashMap::default(),
        }
    }

    /// Takes in a report; returns whether all evidence together now speaks against the target.
    pub fn add_report(&mut self, report: &EvidenceReport<'_>, now: BootTime) -> bool {
        let threshold = self.threshold;
        let sum = self.sums.entry(Rc::from(report.target)).or_default();
        sum.pass_time(now);
        sum.expected_per_s = report.expected_per_s;
        sum.add(report, DAEMON_CAP * threshold);
        if sum
            .alarmed_at
            .is_some_and(|at| now.since(at) < ALARM_INTERVAL)
        {
            return false;
        }
        if self.is_common(report, now) {
            return false;
        }
        let own = self.sums[report.target].capped(threshold, now);
        if own - SIBLING_WEIGHT * self.sibling_mean(report, now) < threshold {
            return false;
        }
        if let Some(sum) = self.sums.get_mut(report.target) {
            sum.alarmed_at = Some(now);
            sum.parts.clear();
        }
        true
    }

    /// Tells whether many of the siblings are suspect as well.
    fn is_common(&self, report: &EvidenceReport<'_>, now: BootTime) -> bool {
        let least = SUSPECT_SIBLING * self.threshold;
        let nats = self.sibling_nats(report, now);
        let suspect = nats.filter(|nats| *nats >= least).count() as f64;
        suspect > SUSPECT_SHARE * f64::from(report.siblings.saturating_sub(1))
    }

    fn sibling_nats<'a>(
        &'a self,
        report: &'a EvidenceReport<'_>,
        now: BootTime,
    ) -> impl Iterator<Item = f64> + 'a {
        let others = self
            .sums
            .iter()
            .filter(|(name, _)| ***name != *report.target);
        others.map(move |(_, s)| s.capped(self.threshold, now))
    }

    fn sibling_mean(&self, report: &EvidenceReport<'_>, now: BootTime) -> f64 {
        let total: f64 = self.sibling_nats(report, now).sum();
        total / f64::from(report.siblings.saturating_sub(1).max(1))
    }

    /// Tells whether there is no evidence at all.
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty()
    }

    /// Drops what is older than `limit`.
    pub fn remove_older(&mut self, limit: Duration, now: BootTime) {
        self.sums.retain(|_, s| now.since(s.at) < limit);
    }
}

impl Sum {
    /// Returns the share of the evidence that is left at `now`.
    fn left(&self, now: BootTime) -> f64 {
        let total: f64 = self.parts.iter().map(|p| p.nats).sum();
        let good = self.expected_per_s * now.since(self.at).as_secs_f64();
        let drift = good * log_likelihood_ratio(false, 0.0, FAULT_SHARES[0]);
        if total <= 0.0 {
            return 0.0;
        }
        ((total + drift) / total).max(0.0)
    }

    fn pass_time(&mut self, now: BootTime) {
        let left = self.left(now);
        for part in &mut self.parts {
            part.nats *= left;
        }
        self.parts.retain(|p| p.nats > 0.0);
        self.at = self.at.max(now);
    }

    fn add(&mut self, report: &EvidenceReport<'_>, cap: f64) {
        let known = self.parts.iter_mut().find(|p| *p.host == *report.host);
        if let Some(part) = known {
            part.nats = (part.nats + report.nats).min(cap);
            return;
        }
        self.parts.push(Part {
            host: Rc::from(report.host),
            data_centre: Rc::from(report.data_centre),
            nats: report.nats.min(cap),
        });
    }

    /// Returns the evidence with that of each data centre bounded.
    fn capped(&self, threshold: f64, now: BootTime) -> f64 {
        let mut centres: FxHashMap<&str, f64> = FxHashMap::default();
        for part in &self.parts {
            *centres.entry(&part.data_centre).or_default() += part.nats;
        }
        let cap = DATA_CENTRE_CAP * threshold;
        let mut sums: Vec<f64> = centres.into_values().collect();
        sums.sort_by(f64::total_cmp);
        let largest = sums.pop().unwrap_or(0.0);
        let rest: f64 = sums.iter().sum();
        let total = largest.min(cap.max(rest)) + rest;
        (total * self.left(now)).min(EVIDENCE_CAP * threshold)
    }
}
