//! The sequential detector: tests each target's work against that of its siblings.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{
    evidence::{EVIDENCE_CAP, TOLD_SLOW_WEIGHT},
    log_likelihood_ratio, Assessment, DecayingSum, Detector, Evidence, Observation,
    SequentialOptions, ServiceId, TargetHealth, TargetId, Verdict, WorkCounts, WorkResult,
    WorkTotals, EVIDENCE_HALF_LIFE, FAULT_SHARES,
};

/// Mean evidence against siblings that chance explains, nats.
const SIBLING_NOISE: f64 = 0.5;
/// Multiple of the siblings' further mean evidence that is the service's, not the target's.
const SIBLING_WEIGHT: f64 = 3.0;
/// Half-life of the memory of ejections.
const FLAP_HALF_LIFE: Duration = Duration::from_secs(300);
/// Time after which a trial that gets no idempotent work ends with a probe.
const TRIAL_WITHOUT_WORK: Duration = Duration::from_secs(10);
/// Part of the threshold that a target starts from after a trial.
const EVIDENCE_AFTER_TRIAL: f64 = 0.5;

/// What the detector does with a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It gets work.
    Serving,
    /// It gets none before `until`, and then only after a probe.
    Ejected { until: BootTime },
    /// It gets a small share of idempotent work.
    Trial { good: u32, since: BootTime },
}

struct Record {
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
    members: u32,
}

/// Ejects a target when its work is worse than its siblings' by more than chance explains.
pub struct SequentialDetector {
    opts: SequentialOptions,
    targets: FxHashMap<TargetId, Record>,
    services: FxHashMap<ServiceId, ServiceRecord>,
}

impl SequentialDetector {
    /// Makes a detector without targets.
    pub fn new(opts: SequentialOptions) -> Self {
        Self {
            opts,
            targets: FxHashMap::default(),
            services: FxHashMap::default(),
        }
    }

    fn siblings(&self, record: &Record, now: BootTime) -> WorkTotals {
        let own = record.counts.totals(now);
        let all = self.services.get(&record.service);
        all.map_or_else(WorkTotals::default, |s| s.counts.totals(now).without(&own))
    }

    /// Returns the evidence that is the target's own, not its service's, in nats.
    fn excess_evidence(&self, record: &Record, now: BootTime) -> f64 {
        let own = record.evidence.nats(now);
        let Some(service) = self.services.get(&record.service) else {
            return own;
        };
        let others = service.evidence.get(now, EVIDENCE_HALF_LIFE) - own;
        let count = service.serving.saturating_sub(1).max(1);
        let mean = others / f64::from(count);
        own - SIBLING_WEIGHT * (mean - SIBLING_NOISE).max(0.0)
    }

    fn record_work(
        &mut self,
        target: TargetId,
        verdict: Verdict,
        latency: Option<Duration>,
        now: BootTime,
    ) {
        let Some(record) = self.targets.get(&target) else {
            return;
        };
        let siblings = self.siblings(record, now);
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

    /// Takes a target out of the comparison and of work.
    fn eject(&mut self, target: TargetId, now: BootTime) {
        self.leave_comparison(target, now);
        let Some(record) = self.targets.get_mut(&target) else {
            return;
        };
        let earlier = record.ejections.get(now, FLAP_HALF_LIFE);
        let hold = self.opts.base_ejection_time.mul_f64(earlier.exp2());
        record.ejections.add(1.0, now, FLAP_HALF_LIFE);
        record.phase = Phase::Ejected {
            until: now + hold.min(self.opts.max_ejection_time),
        };
    }

    fn leave_comparison(&mut self, target: TargetId, now: BootTime) {
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

    fn return_to_work(&mut self, target: TargetId, now: BootTime) {
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

    fn on_trial(&mut self, target: TargetId, bad: bool, good: u32, now: BootTime) -> bool {
        if bad {
            self.eject(target, now);
            return true;
        }
        if good + 1 >= self.opts.trial_length {
            self.return_to_work(target, now);
            return true;
        }
        if let Some(record) = self.targets.get_mut(&target) {
            record.phase = Phase::Trial {
                good: good + 1,
                since: now,
            };
        }
        false
    }

    /// Takes in work at a target that is neither ejected nor on trial.
    fn at_work(
        &mut self,
        target: TargetId,
        verdict: Verdict,
        obs: &Observation,
        now: BootTime,
    ) -> Assessment {
        let bad = verdict != Verdict::Good;
        let siblings = self.siblings(&self.targets[&target], now);
        let timed = obs.result == WorkResult::Success;
        self.record_work(target, verdict, timed.then_some(obs.latency), now);
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

    /// Judges one piece of work; none when it says nothing of the target.
    fn judge(&self, record: &Record, obs: &Observation, now: BootTime) -> Option<Verdict> {
        match obs.result {
            WorkResult::Shed => None,
            WorkResult::Overdue => Some(Verdict::Slow),
            WorkResult::Success => {
                let limit = self.siblings(record, now).slow_limit();
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
        let record = Record {
            service,
            phase: Phase::Serving,
            counts: WorkCounts::default(),
            evidence: Evidence::default(),
            ejections: DecayingSum::default(),
        };
        self.targets.insert(target, record);
        let service = self.services.entry(service).or_default();
        service.serving += 1;
        service.members += 1;
    }

    fn observe(&mut self, target: TargetId, obs: &Observation, now: BootTime) -> Assessment {
        let Some(record) = self.targets.get(&target) else {
            return Assessment::default();
        };
        let Some(verdict) = self.judge(record, obs, now) else {
            return Assessment::default();
        };
        let bad = verdict != Verdict::Good;
        let changed = match record.phase {
            Phase::Ejected { .. } => false,
            Phase::Trial { good, .. } => self.on_trial(target, bad, good, now),
            Phase::Serving => return self.at_work(target, verdict, obs, now),
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
                let share = record.evidence.nats(now) / self.opts.local_threshold;
                share.min(0.99)
            }
            Phase::Trial { .. } => 1.0,
            Phase::Ejected { .. } => 1.0 + record.ejections.get(now, FLAP_HALF_LIFE),
        };
        TargetHealth {
            suspicion,
            on_trial: matches!(record.phase, Phase::Trial { .. }),
        }
    }

    fn overdue_after(&self, target: TargetId, now: BootTime) -> Option<Duration> {
        let record = self.targets.get(&target)?;
        self.siblings(record, now).slow_limit()
    }

    fn local_evidence(&self, target: TargetId, now: BootTime) -> f64 {
        let record = self.targets.get(&target);
        record.map_or(0.0, |r| r.evidence.nats(now))
    }

    fn apply_fleet_alarm(&mut self, target: TargetId, now: BootTime) -> bool {
        let serving = |r: &Record| r.phase == Phase::Serving;
        if !self.targets.get(&target).is_some_and(serving) {
            return false;
        }
        self.leave_comparison(target, now);
        if let Some(record) = self.targets.get_mut(&target) {
            record.phase = Phase::Trial {
                good: 0,
                since: now,
            };
        }
        true
    }

    fn needs_probe(&self, target: TargetId, now: BootTime) -> bool {
        match self.targets.get(&target).map(|r| r.phase) {
            Some(Phase::Ejected { until }) => until <= now,
            Some(Phase::Trial { since, .. }) => now.since(since) >= TRIAL_WITHOUT_WORK,
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
            self.return_to_work(target, now);
            return true;
        }
        record.phase = Phase::Trial {
            good: 0,
            since: now,
        };
        true
    }

    fn remove_target(&mut self, target: TargetId, now: BootTime) {
        self.leave_comparison(target, now);
        let Some(record) = self.targets.remove(&target) else {
            return;
        };
        let service = self.services.entry(record.service).or_default();
        service.members = service.members.saturating_sub(1);
        if service.members == 0 {
            self.services.remove(&record.service);
        }
    }
}

/// Returns the evidence that peers are told of one piece of work, nats.
fn nats_against(verdict: Verdict, siblings: &WorkTotals) -> f64 {
    match verdict {
        Verdict::Good => 0.0,
        Verdict::Slow => {
            TOLD_SLOW_WEIGHT * log_likelihood_ratio(true, siblings.slow_share(), FAULT_SHARES[0])
        }
        Verdict::Failed => log_likelihood_ratio(true, siblings.failed_share(), FAULT_SHARES[0]),
    }
}
