//! Limits of cold targets.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use crate::{clock::BootTime, store::StoreVersion};

use super::{
    super::{FleetShare, Target, TargetId, WarmupTerms},
    Balancer,
};

/// Time between two probes of a target that may be cold.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Targets that may be cold which are probed at once. A third of 119 daemons that restart together
/// thus send 360 targets less than 10 probes per second each, and only while requests lack a target.
const MAX_PROBES: usize = 8;

/// What the entry of a target states about its warm-up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryWarmup {
    /// Name of the target.
    pub target: String,
    /// Version of the entry.
    pub version: StoreVersion,
    /// Whether the entry may have been written in an earlier era, as the store came back from an older
    /// copy.
    pub may_be_restored: bool,
    /// Time for which the target is cold; zero if it is not.
    pub left: Duration,
}

impl Balancer {
    /// Replaces the terms of the services that limit the requests of cold targets.
    pub fn set_warmup_terms(&mut self, terms: BTreeMap<Rc<str>, WarmupTerms>, now: BootTime) {
        self.warmup_terms = terms;
        let ids: Vec<TargetId> = self.targets.keys().copied().collect();
        ids.into_iter().for_each(|id| self.update_warmup(id, now));
    }

    /// Applies what entries of targets state about their warm-up.
    pub fn record_entries(&mut self, entries: &[EntryWarmup], now: BootTime) {
        for entry in entries {
            let Some(id) = self.by_name.get(entry.target.as_str()).copied() else {
                continue;
            };
            if let Some(target) = self.targets.get_mut(&id) {
                let (version, may_be_restored) = (entry.version, entry.may_be_restored);
                let warmup = &mut target.warmup;
                warmup.record_entry(version, may_be_restored, entry.left, now);
            }
            self.update_warmup(id, now);
        }
    }

    /// Applies the response to a probe, which states that the target is cold for `left`; `None` if
    /// there was no usable response.
    pub fn record_probe_warmup(&mut self, id: TargetId, left: Option<Duration>, now: BootTime) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        target.warmup.probed_at = Some(now);
        let Some(left) = left else {
            return;
        };
        let is_verified = target.warmup.record_probe(left, now);
        self.update_warmup(id, now);
        let target = self.targets.get_mut(&id);
        if let Some(target) = target.filter(|t| is_verified && !t.throttle.is_cold(now)) {
            // The target was warm all the time.
            target.ramp_from = None;
        }
    }

    /// Records that a target is back in use after an evacuation.
    pub(super) fn record_return(
        &mut self,
        id: TargetId,
        version: Option<StoreVersion>,
        now: BootTime,
    ) {
        if let Some(target) = self.targets.get_mut(&id) {
            target.ramp_from = Some(now);
            target.warmup.record_return(version, now);
        }
        self.update_warmup(id, now);
    }

    /// Applies the limit of a cold target, or ends it. The target ramps up from the end on.
    pub(super) fn update_warmup(&mut self, id: TargetId, now: BootTime) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        let service = self.services.get(&target.service);
        let terms = service.and_then(|s| self.warmup_terms.get(&s.name));
        let until =
            terms.and_then(|terms| Some((target.warmup.cold_until(terms.duration)?, terms)));
        match until.filter(|(until, _)| *until > now) {
            Some((until, terms)) => {
                target.ramp_from = Some(until);
                if target.throttle.set_warmup(until, *terms, now) {
                    self.shares_needed.push(id);
                }
            }
            None if target.throttle.end_warmup(now) => target.ramp_from = Some(now),
            None => {}
        }
    }

    /// Returns the targets that became cold since the last call, for which
    /// [`Balancer::set_warmup_share`] must be called.
    pub fn take_shares_needed(&mut self) -> Vec<(TargetId, Rc<str>)> {
        let ids = std::mem::take(&mut self.shares_needed);
        let target = |id: TargetId| Some((id, self.targets.get(&id)?.name.clone()));
        ids.into_iter().filter_map(target).collect()
    }

    /// Returns the cold targets that have a limit.
    pub fn cold_targets(&self, now: BootTime) -> Vec<(TargetId, Rc<str>)> {
        let cold = self.targets.values().filter(|t| t.throttle.is_cold(now));
        cold.map(|t| (t.id, t.name.clone())).collect()
    }

    /// Sets the place of this daemon among the members of the fleet for a cold target.
    pub fn set_warmup_share(&mut self, id: TargetId, share: FleetShare, now: BootTime) {
        if let Some(target) = self.targets.get_mut(&id) {
            target.throttle.set_warmup_share(share, now);
        }
    }

    /// Returns some targets whose response to a probe would tell whether they are cold. Only those of
    /// services whose requests lack a target are probed; the doubt about the others ends by time.
    pub(super) fn unverified_targets(&self, now: BootTime) -> Vec<(TargetId, SocketAddr)> {
        if self.warmup_terms.is_empty() {
            return Vec::new();
        }
        let is_due = |t: &&Target| {
            let service = self.services.get(&t.service);
            let terms = service.and_then(|s| self.warmup_terms.get(&s.name));
            let probed = t.warmup.probed_at;
            let is_due = probed.is_none_or(|at| now.since(at) >= PROBE_INTERVAL);
            is_due
                && !t.is_excluded()
                && service.is_some_and(|s| s.is_throttled(now))
                && terms.is_some_and(|terms| t.warmup.needs_probe(terms.duration, now))
        };
        let due = self.targets.values().filter(is_due);
        let mut due: Vec<_> = due.map(|t| (t.id, t.address)).collect();
        let offset = self.probe_offset % due.len().max(1);
        due.rotate_left(offset);
        due.truncate(MAX_PROBES);
        due
    }
}
