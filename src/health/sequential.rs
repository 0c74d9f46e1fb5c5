//! The sequential detector, which tests each target's requests against those of its siblings, the
//! other targets of its service.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{
    evidence::{EVIDENCE_CAP, REPORTED_SLOW_WEIGHT},
    log_likelihood_ratio, Assessment, DecayingSum, Detector, Evidence, Observation,
    SequentialOptions, ServiceId, TargetHealth, TargetId, Verdict, WorkCounts, WorkResult,
    WorkTotals, EVIDENCE_HALF_LIFE, FAULT_SHARES,
};

/// Mean evidence against the siblings that is explained by chance, in nats.
const SIBLING_NOISE_NATS: f64 = 0.5;
/// Multiple of the siblings' mean evidence above the noise that is attributed to the service, and
/// so not held against the target.
const SIBLING_WEIGHT: f64 = 3.0;
/// Half-life of the count of past ejections, which lengthens the next ejection.
const EJECTION_HALF_LIFE: Duration = Duration::from_secs(300);
/// Time without an idempotent request after which a healthy probe ends a trial.
const IDLE_TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Fraction of the threshold that a target's evidence is set to after a trial.
const EVIDENCE_AFTER_TRIAL: f64 = 0.5;

/// Routing phase of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Receives requests.
    Serving,
    /// Receives no requests; from `until` on, a healthy probe starts a trial.
    Ejected { until: BootTime },
    /// Receives a small share of the idempotent requests. `since` is the start of the trial or
    /// the last of its `successes`.
    Trial { successes: u32, since: BootTime },
}

struct TargetRecord {
    service: ServiceId,
    phase: Phase,
    counts: WorkCounts,
    evidence: Evidence,
    ejections: DecayingSum,
}

#[derive(Default)]
struct ServiceRecord {
    counts: WorkCounts,
    evidence: DecayingSum,
    serving: u32,
    targets: u32,
}

/// Ejects a target when its requests fail or are slow more often than its siblings' by more than
/// chance explains.
pub struct SequentialDetector {
    opts: SequentialOptions,
    targets: FxHashMap<TargetId, TargetRecord>,
    services: FxHashMap<ServiceId, ServiceRecord>,
}

impl SequentialDetector {
    /// Creates a detector without targets.
    pub fn new(opts: SequentialOptions) -> Self {
        Self {
            opts,
            targets: FxHashMap::default(),
            services: FxHashMap::default(),
        }
    }

    fn sibling_totals(&self, record: &TargetRecord, now: BootTime) -> WorkTotals {
        let own = record.counts.totals(now);
        let all = self.services.get(&record.service);
        all.map_or_else(WorkTotals::default, |s| s.counts.totals(now).without(&own))
    }

    /// Returns the evidence against the target beyond what its siblings show as well, in nats.
    fn excess_evidence(&self, record: &TargetRecord, now: BootTime) -> f64 {
        let own = record.evidence.nats(now);
        let Some(service) = self.services.get(&record.service) else {
            return own;
        };
        let others = service.evidence.get(now, EVIDENCE_HALF_LIFE) - own;
        let count = service.serving.saturating_sub(1).max(1);
        let mean = others / f64::from(count);
        own - SIBLING_WEIGHT * (mean - SIBLING_NOISE_NATS).max(0.0)
    }

    fn record_verdict(
        &mut self,
        target: TargetId,
        verdict: Verdict,
        latency: Option<Duration>,
        now: BootTime,
    ) {
        let Some(record) = self.targets.get(&target) else {
            return;
        };
        let siblings = self.sibling_totals(record, now);
        let cap = EVIDENCE_CAP * self.opts.local_threshold;
        let Some(record) = self.targets.get_mut(&target) else {
            return;
        };
        let service = self.services.entry(record.service).or_default();
        let before = record.evidence.nats(now);
        record.evidence.observe(verdict, &siblings, cap, now);
        let change = record.evidence.nats(now) - before;
        service.evidence.add(change, now, EVIDENCE_HALF_LIFE);
        record.counts.record(verdict, latency, now);
        service.counts.record(verdict, latency, now);
    }

    /// Ejects a target and removes it from the baseline of its service. Each recent ejection
    /// doubles the time, up to the maximum.
    fn eject(&mut self, target: TargetId, now: BootTime) {
        self.remove_from_baseline(target, now);
        let Some(record) = self.targets.get_mut(&target) else {
            return;
        };
        let recent = record.ejections.get(now, EJECTION_HALF_LIFE);
        let ejection_time = self.opts.base_ejection_time.mul_f64(recent.exp2());
        record.ejections.add(1.0, now, EJECTION_HALF_LIFE);
        record.phase = Phase::Ejected {
            until: now + ejection_time.min(self.opts.max_ejection_time),
        };
    }

    fn remove_from_baseline(&mut self, target: TargetId, now: BootTime) {
        let Some(record) = self.targets.get_mut(&target) else {
            return;
        };
        if record.phase != Phase::Serving {
            return;
        }
        let service = self.services.entry(record.service).or_default();
        service.counts.subtract(&record.counts, now);
        let nats = record.evidence.nats(now);
        service.evidence.add(-nats, now, EVIDENCE_HALF_LIFE);
        service.serving = service.serving.saturating_sub(1);
        record.counts = WorkCounts::default();
    }

    fn readmit(&mut self, target: TargetId, now: BootTime) {
        let nats = EVIDENCE_AFTER_TRIAL * self.opts.local_threshold;
        let Some(record) = self.targets.get_mut(&target) else {
            return;
        };
        record.phase = Phase::Serving;
        record.evidence.reset(nats, now);
        let service = self.services.entry(record.service).or_default();
        service.evidence.add(nats, now, EVIDENCE_HALF_LIFE);
        service.serving += 1;
    }

    fn observe_trial(
        &mut self,
        target: TargetId,
        bad: bool,
        successes: u32,
        now: BootTime,
    ) -> bool {
        if bad {
            self.eject(target, now);
            return true;
        }
        if successes + 1 >= self.opts.trial_length {
            self.readmit(target, now);
            return true;
        }
        if let Some(record) = self.targets.get_mut(&target) {
            record.phase = Phase::Trial {
                successes: successes + 1,
                since: now,
            };
        }
        false
    }

    /// Records a request to a target that is neither ejected nor on trial.
    fn observe_serving(
        &mut self,
        target: TargetId,
        verdict: Verdict,
        obs: &Observation,
        now: BootTime,
    ) -> Assessment {
        let bad = verdict != Verdict::Good;
        let siblings = self.sibling_totals(&self.targets[&target], now);
        let timed = obs.result == WorkResult::Success;
        self.record_verdict(target, verdict, timed.then_some(obs.latency), now);
        let record = &self.targets[&target];
        let changed = bad && self.excess_evidence(record, now) >= self.opts.local_threshold;
        if changed {
            self.eject(target, now);
        }
        Assessment {
            changed,
            nats_against: nats_against(verdict, &siblings),
        }
    }

    /// Classifies a request. Returns `None` for shed requests, which say nothing about the health
    /// of the target.
    fn classify(&self, record: &TargetRecord, obs: &Observation, now: BootTime) -> Option<Verdict> {
        match obs.result {
            WorkResult::Shed => None,
            WorkResult::Overdue => Some(Verdict::Slow),
            WorkResult::Success => {
                let limit = self.sibling_totals(record, now).slow_limit();
                let slow = limit.is_some_and(|limit| obs.latency > limit);
                Some(if slow { Verdict::Slow } else { Verdict::Good })
            }
            WorkResult::ServerError
            | WorkResult::Lost
            | WorkResult::Timeout
            | WorkResult::Silent => Some(Verdict::Failed),
        }
    }
}

impl Detector for SequentialDetector {
    fn add_target(&mut self, target: TargetId, service: ServiceId) {
        let record = TargetRecord {
            service,
            phase: Phase::Serving,
            counts: WorkCounts::default(),
            evidence: Evidence::default(),
            ejections: DecayingSum::default(),
        };
        self.targets.insert(target, record);
        let service = self.services.entry(service).or_default();
        service.serving += 1;
        service.targets += 1;
    }

    fn observe(&mut self, target: TargetId, obs: &Observation, now: BootTime) -> Assessment {
        let Some(record) = self.targets.get(&target) else {
            return Assessment::default();
        };
        let Some(verdict) = self.classify(record, obs, now) else {
            return Assessment::default();
        };
        let bad = verdict != Verdict::Good;
        let changed = match record.phase {
            Phase::Ejected { .. } => false,
            Phase::Trial { successes, .. } => self.observe_trial(target, bad, successes, now),
            Phase::Serving => return self.observe_serving(target, verdict, obs, now),
        };
        Assessment {
            changed,
            nats_against: 0.0,
        }
    }

    fn health(&self, target: TargetId, now: BootTime) -> TargetHealth {
        let Some(record) = self.targets.get(&target) else {
            return TargetHealth {
                suspicion: 0.0,
                on_trial: false,
            };
        };
        let suspicion = match record.phase {
            Phase::Serving => {
                let ratio = record.evidence.nats(now) / self.opts.local_threshold;
                ratio.min(0.99)
            }
            Phase::Trial { .. } => 1.0,
            Phase::Ejected { .. } => 1.0 + record.ejections.get(now, EJECTION_HALF_LIFE),
        };
        TargetHealth {
            suspicion,
            on_trial: matches!(record.phase, Phase::Trial { .. }),
        }
    }

    fn overdue_after(&self, target: TargetId, now: BootTime) -> Option<Duration> {
        let record = self.targets.get(&target)?;
        self.sibling_totals(record, now).slow_limit()
    }

    fn local_evidence(&self, target: TargetId, now: BootTime) -> f64 {
        let record = self.targets.get(&target);
        record.map_or(0.0, |r| r.evidence.nats(now))
    }

    fn apply_fleet_alarm(&mut self, target: TargetId, now: BootTime) -> bool {
        let serving = |r: &TargetRecord| r.phase == Phase::Serving;
        if !self.targets.get(&target).is_some_and(serving) {
            return false;
        }
        self.remove_from_baseline(target, now);
        if let Some(record) = self.targets.get_mut(&target) {
            record.phase = Phase::Trial {
                successes: 0,
                since: now,
            };
        }
        true
    }

    fn needs_probe(&self, target: TargetId, now: BootTime) -> bool {
        match self.targets.get(&target).map(|r| r.phase) {
            Some(Phase::Ejected { until }) => until <= now,
            Some(Phase::Trial { since, .. }) => now.since(since) >= IDLE_TRIAL_TIMEOUT,
            _ => false,
        }
    }

    fn record_probe(&mut self, target: TargetId, healthy: bool, now: BootTime) -> bool {
        if !healthy || !self.needs_probe(target, now) {
            return false;
        }
        let Some(record) = self.targets.get_mut(&target) else {
            return false;
        };
        if matches!(record.phase, Phase::Trial { .. }) {
            self.readmit(target, now);
            return true;
        }
        record.phase = Phase::Trial {
            successes: 0,
            since: now,
        };
        true
    }

    fn remove_target(&mut self, target: TargetId, now: BootTime) {
        self.remove_from_baseline(target, now);
        let Some(record) = self.targets.remove(&target) else {
            return;
        };
        let service = self.services.entry(record.service).or_default();
        service.targets = service.targets.saturating_sub(1);
        if service.targets == 0 {
            self.services.remove(&record.service);
        }
    }
}

/// Returns the evidence of one request that is reported to other daemons, in nats.
fn nats_against(verdict: Verdict, siblings: &WorkTotals) -> f64 {
    match verdict {
        Verdict::Good => 0.0,
        Verdict::Slow => {
            REPORTED_SLOW_WEIGHT
                * log_likelihood_ratio(true, siblings.slow_share(), FAULT_SHARES[0])
        }
        Verdict::Failed => log_likelihood_ratio(true, siblings.failed_share(), FAULT_SHARES[0]),
    }
}
