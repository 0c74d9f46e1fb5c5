//! Choice of a target for a request.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::{clock::BootTime, platform::ListedHost};

use super::{
    routing_set, Candidate, Detector, Flights, Lateness, Observation, Service, ServiceId,
    Suspicion, Target, TargetId, TargetState, Ticket, WorkResult,
};

/// Longest time for which the routing set of a service stands without a rebuild.
const REBUILD_INTERVAL: Duration = Duration::from_millis(100);
/// Share of idempotent requests that targets on trial get.
const TRIAL_SHARE: f64 = 0.05;
/// Draws of a target before a full or cold one is accepted.
const MAX_DRAWS: usize = 8;
/// Multiple of the age of overdue requests at which no answer is expected any more.
const SILENT_FACTOR: u32 = 4;
/// Suspicions kept for other daemons at a time.
const MAX_SUSPICIONS: usize = 256;
/// Time between probes of a target that said that it drains.
const DRAINING_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// The service has no target that takes work.
    NoTarget,
    /// All targets have as many requests of this daemon as they may.
    Busy,
    /// The request waited, or would wait, until its deadline or behind too many others.
    Overloaded,
}

/// What the choice of a target depends on.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// Targets that were tried already.
    pub avoid: &'a [TargetId],
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// A chosen target.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The target.
    pub id: TargetId,
    /// The request in flight.
    pub ticket: Ticket,
    /// Its address.
    pub address: SocketAddr,
    /// Its name.
    pub name: Rc<str>,
}

/// Knows all targets and chooses one for each request.
pub struct Balancer {
    detector: Box<dyn Detector>,
    floor: f64,
    targets: FxHashMap<TargetId, Target>,
    services: FxHashMap<ServiceId, Service>,
    service_ids: FxHashMap<Rc<str>, ServiceId>,
    by_name: FxHashMap<Rc<str>, TargetId>,
    next_id: u32,
    next_ticket: u64,
    ejections: u64,
    suspicions: Vec<Suspicion>,
    random: fastrand::Rng,
}

impl Balancer {
    /// Makes a balancer without targets.
    pub fn new(detector: Box<dyn Detector>, floor: f64, seed: u64) -> Self {
        Self {
            detector,
            floor,
            targets: FxHashMap::default(),
            services: FxHashMap::default(),
            service_ids: FxHashMap::default(),
            by_name: FxHashMap::default(),
            next_id: 0,
            next_ticket: 0,
            ejections: 0,
            suspicions: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Takes over the platform's list; hosts of the fleet itself are skipped.
    ///
    /// Targets that come after the first list start with a small share of work.
    pub fn set_targets(&mut self, hosts: &[ListedHost], now: BootTime) {
        let ramp_from = (!self.targets.is_empty()).then_some(now);
        let mut listed = FxHashSet::default();
        for host in hosts {
            if let Some(service) = &host.service {
                listed.insert(self.upsert(host, service, ramp_from));
            }
        }
        let gone = self.targets.keys().filter(|id| !listed.contains(id));
        for id in gone.copied().collect::<Vec<TargetId>>() {
            self.remove(id, now);
        }
    }

    fn remove(&mut self, id: TargetId, now: BootTime) {
        let Some(target) = self.targets.remove(&id) else {
            return;
        };
        self.detector.forget(id, now);
        if self.by_name.get(&target.name) == Some(&id) {
            self.by_name.remove(&target.name);
        }
        if let Some(service) = self.services.get_mut(&target.service) {
            service.targets.retain(|t| *t != id);
            service.built_at = None;
        }
    }

    fn upsert(&mut self, host: &ListedHost, service: &str, ramp: Option<BootTime>) -> TargetId {
        let service = self.service_id(service);
        let known = self.by_name.get(host.name.as_str()).copied();
        if let Some(target) = known.and_then(|id| self.targets.get_mut(&id)) {
            if target.address == host.address && target.service == service {
                let slots = host.slots.max(1);
                let changed = target.slots != slots || target.listed_leaving != host.leaving;
                target.slots = slots;
                target.listed_leaving = host.leaving;
                if changed {
                    self.invalidate(service);
                }
                return self.by_name[host.name.as_str()];
            }
        }
        self.insert(host, service, ramp)
    }

    fn insert(
        &mut self,
        host: &ListedHost,
        service: ServiceId,
        ramp_from: Option<BootTime>,
    ) -> TargetId {
        let id = TargetId(self.next_id);
        self.next_id += 1;
        let slots = host.slots.max(1);
        let target = Target {
            id,
            service,
            name: Rc::from(host.name.as_str()),
            address: host.address,
            slots,
            listed_leaving: host.leaving,
            state: TargetState::Serving,
            flights: Flights::default(),
            bound: f64::from(slots),
            ramp_from,
            load: 0.0,
            load_at: BootTime::default(),
        };
        self.by_name.insert(target.name.clone(), id);
        self.targets.insert(id, target);
        self.detector.join(id, service);
        if let Some(service) = self.services.get_mut(&service) {
            service.targets.push(id);
            service.built_at = None;
        }
        id
    }

    fn service_id(&mut self, name: &str) -> ServiceId {
        if let Some(id) = self.service_ids.get(name) {
            return *id;
        }
        let id = ServiceId(self.next_id);
        self.next_id += 1;
        let name: Rc<str> = Rc::from(name);
        self.service_ids.insert(name.clone(), id);
        self.services.insert(id, Service::new(name));
        id
    }

    /// Chooses a target and counts a request in flight on it.
    ///
    /// # Errors
    ///
    /// Returns [`PickError::NoTarget`] when no target takes work, and [`PickError::Busy`] when
    /// all that do have enough of it.
    pub fn pick(&mut self, req: &PickRequest<'_>, now: BootTime) -> Result<Choice, PickError> {
        let service = *self
            .service_ids
            .get(req.service)
            .ok_or(PickError::NoTarget)?;
        self.refresh(service, now);
        let id = match self.draw_trial(service, req) {
            Some(id) => id,
            None => self.draw(service, req.avoid, now)?,
        };
        self.start(id, now).ok_or(PickError::NoTarget)
    }

    fn start(&mut self, id: TargetId, now: BootTime) -> Option<Choice> {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let target = self.targets.get_mut(&id)?;
        target.flights.start(ticket, now);
        if let Some(service) = self.services.get_mut(&target.service) {
            service.count_work(now);
        }
        Some(Choice {
            id,
            ticket,
            address: target.address,
            name: target.name.clone(),
        })
    }

    /// Returns a target on trial for a small share of the idempotent first attempts.
    fn draw_trial(&mut self, service: ServiceId, req: &PickRequest<'_>) -> Option<TargetId> {
        let on_trial = &self.services.get(&service)?.on_trial;
        let eligible = req.repeatable && req.avoid.is_empty() && !on_trial.is_empty();
        if !eligible || self.random.f64() >= TRIAL_SHARE {
            return None;
        }
        let id = on_trial[self.random.usize(0..on_trial.len())];
        let target = self.targets.get(&id)?;
        target.flights.is_empty().then_some(id)
    }

    fn draw(
        &mut self,
        service: ServiceId,
        avoid: &[TargetId],
        now: BootTime,
    ) -> Result<TargetId, PickError> {
        let service = self.services.get(&service).ok_or(PickError::NoTarget)?;
        if service.routing.is_empty() {
            return Err(PickError::NoTarget);
        }
        let targets = &self.targets;
        let free = |id: &&TargetId| targets.get(id).is_some_and(|t| !t.is_full());
        let all_free = || service.routing.iter().filter(free).copied();
        let mut free: Vec<TargetId> = all_free().filter(|id| !avoid.contains(id)).collect();
        if free.is_empty() {
            free = all_free().collect();
        }
        let first = draw_weighted(&free, targets, &mut self.random, now);
        let second = draw_weighted(&free, targets, &mut self.random, now);
        let (Some(first), Some(second)) = (first, second) else {
            return Err(PickError::Busy);
        };
        if second.load_with_next(now) < first.load_with_next(now) {
            return Ok(second.id);
        }
        Ok(first.id)
    }

    /// Builds the sets of a service again when something changed or they are old.
    fn refresh(&mut self, service: ServiceId, now: BootTime) {
        let Some(old) = self.services.get(&service) else {
            return;
        };
        let fresh = |at: BootTime| now.since(at) < REBUILD_INTERVAL;
        if old.built_at.is_some_and(fresh) {
            return;
        }
        let mut candidates = Vec::with_capacity(old.targets.len());
        let mut on_trial = Vec::new();
        let live = old.targets.iter().filter_map(|id| self.targets.get(id));
        for target in live.filter(|t| !t.is_leaving()) {
            let standing = self.detector.standing(target.id, now);
            candidates.push(Candidate {
                id: target.id,
                slots: target.slots,
                suspicion: standing.suspicion,
            });
            if standing.on_trial {
                on_trial.push(target.id);
            }
        }
        let routing = routing_set(&candidates, self.floor);
        on_trial.retain(|id| !routing.contains(id));
        let returned: Vec<TargetId> = old
            .on_trial
            .iter()
            .filter(|id| routing.contains(id))
            .copied()
            .collect();
        for id in returned {
            self.start_ramp(id, now);
        }
        if let Some(service) = self.services.get_mut(&service) {
            service.routing = routing;
            service.on_trial = on_trial;
            service.built_at = Some(now);
        }
    }

    fn start_ramp(&mut self, id: TargetId, now: BootTime) {
        if let Some(target) = self.targets.get_mut(&id) {
            target.ramp_from = Some(now);
        }
    }

    fn invalidate(&mut self, service: ServiceId) {
        if let Some(service) = self.services.get_mut(&service) {
            service.built_at = None;
        }
    }

    /// Ends a request in flight.
    pub fn release(&mut self, id: TargetId, ticket: Ticket) {
        if let Some(target) = self.targets.get_mut(&id) {
            target.flights.end(ticket);
        }
    }

    /// Takes note of how a request ended.
    pub fn observe(&mut self, id: TargetId, ticket: Ticket, obs: &Observation, now: BootTime) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        match obs.result {
            WorkResult::Shed => target.shed(now),
            WorkResult::Success => {
                target.succeeded();
                if let Some(service) = self.services.get_mut(&target.service) {
                    service.count_answer(obs.latency, now);
                }
            }
            _ => {}
        }
        if target.flights.lateness(ticket) == Lateness::InTime {
            self.judge(id, obs, now);
        }
    }

    /// Tells the detector of one piece of work, and keeps what other daemons should know.
    fn judge(&mut self, id: TargetId, obs: &Observation, now: BootTime) {
        let judgement = self.detector.observe(id, obs, now);
        self.note_change(id, judgement.changed, now);
        if judgement.nats_against <= 0.0 || self.suspicions.len() >= MAX_SUSPICIONS {
            return;
        }
        let Some(target) = self.targets.get(&id) else {
            return;
        };
        let Some(service) = self.services.get(&target.service) else {
            return;
        };
        self.suspicions.push(Suspicion {
            service: service.name.clone(),
            target: target.name.clone(),
            nats: judgement.nats_against,
            siblings: service.targets.len() as u32,
            work_per_s: service.work_per_target(now),
        });
    }

    /// Returns the suspicions that came up since the last call.
    pub fn take_suspicions(&mut self) -> Vec<Suspicion> {
        std::mem::take(&mut self.suspicions)
    }

    fn note_change(&mut self, id: TargetId, changed: bool, now: BootTime) {
        let Some(service) = self.targets.get(&id).map(|t| t.service) else {
            return;
        };
        if !changed {
            return;
        }
        self.invalidate(service);
        if self.detector.standing(id, now).suspicion >= 1.0 {
            self.ejections += 1;
        }
    }

    /// Finds requests that are overdue.
    pub fn tick(&mut self, now: BootTime) {
        let busy = self.targets.values().filter(|t| !t.flights.is_empty());
        let ids: Vec<TargetId> = busy.map(|t| t.id).collect();
        for id in ids {
            self.find_overdue(id, now);
        }
    }

    fn find_overdue(&mut self, id: TargetId, now: BootTime) {
        let Some(limit) = self.detector.overdue_after(id, now) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        let silent_after = limit * SILENT_FACTOR;
        let overdue = target.flights.mark(Lateness::Overdue, limit, now);
        let silent = target.flights.mark(Lateness::Silent, silent_after, now);
        for _ in 0..overdue {
            self.judge_late(id, WorkResult::Overdue, limit, now);
        }
        for _ in 0..silent {
            self.judge_late(id, WorkResult::Silent, silent_after, now);
        }
    }

    fn judge_late(&mut self, id: TargetId, result: WorkResult, latency: Duration, now: BootTime) {
        self.judge(id, &Observation { result, latency }, now);
    }

    /// Takes note of what a target said of itself.
    pub fn report_state(
        &mut self,
        id: TargetId,
        state: TargetState,
        load: Option<f64>,
        now: BootTime,
    ) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        if let Some(load) = load {
            target.report_load(load, now);
        }
        if target.state == state {
            return;
        }
        if state == TargetState::Serving {
            target.ramp_from = Some(now);
        }
        target.state = state;
        let service = target.service;
        self.invalidate(service);
    }

    /// Takes note that the evidence of several daemons together speaks against a target.
    pub fn advise(&mut self, name: &str, now: BootTime) {
        if let Some(id) = self.by_name.get(name).copied() {
            let changed = self.detector.advise(id, now);
            self.note_change(id, changed, now);
        }
    }

    /// Returns the targets to probe now.
    pub fn probes(&self, now: BootTime) -> Vec<(TargetId, SocketAddr)> {
        let draining = |t: &Target| {
            let since = now.since(t.load_at);
            t.state == TargetState::Leaving && since >= DRAINING_PROBE_INTERVAL
        };
        let live = self.targets.values().filter(|t| !t.listed_leaving);
        let wanted = live.filter(|t| draining(t) || self.detector.wants_probe(t.id, now));
        wanted.map(|t| (t.id, t.address)).collect()
    }

    /// Takes note of a probe and of what the target said of itself in it.
    pub fn probed(
        &mut self,
        id: TargetId,
        healthy: bool,
        state: Option<TargetState>,
        now: BootTime,
    ) {
        if let Some(target) = self.targets.get_mut(&id) {
            target.load_at = now;
            target.load = 0.0;
        }
        if let Some(state) = state {
            self.report_state(id, state, None, now);
        }
        let changed = self.detector.probed(id, healthy, now);
        self.note_change(id, changed, now);
    }

    /// Returns the targets that a service routes to, the least suspect first.
    pub fn routing(&mut self, service: &str, now: BootTime) -> Vec<TargetId> {
        let Some(id) = self.service_ids.get(service).copied() else {
            return Vec::new();
        };
        self.refresh(id, now);
        self.services[&id].routing.clone()
    }

    /// Returns the recent mean latency of a service's good answers, zero when there were none.
    pub fn mean_latency(&self, service: &str, now: BootTime) -> Duration {
        let id = self.service_ids.get(service);
        let service = id.and_then(|id| self.services.get(id));
        service.map_or(Duration::ZERO, |s| s.mean_latency(now))
    }

    /// Returns the target of this name.
    pub fn find(&self, name: &str) -> Option<&Target> {
        self.by_name.get(name).and_then(|id| self.targets.get(id))
    }

    /// Returns the target of this identity.
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// Returns the service of this identity.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(&id)
    }

    /// Returns the detector.
    pub fn detector(&self) -> &dyn Detector {
        self.detector.as_ref()
    }

    /// Returns how many times targets were ejected or put on trial.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Returns all targets with their suspicion at `now`, in no order.
    pub fn targets(&self, now: BootTime) -> impl Iterator<Item = (&Target, f64)> {
        self.targets
            .values()
            .map(move |t| (t, self.detector.standing(t.id, now).suspicion))
    }
}

/// Draws a target; one with a smaller weight is accepted less often.
fn draw_weighted<'a>(
    pool: &[TargetId],
    targets: &'a FxHashMap<TargetId, Target>,
    random: &mut fastrand::Rng,
    now: BootTime,
) -> Option<&'a Target> {
    let mut drawn = None;
    for _ in 0..MAX_DRAWS {
        let id = pool.get(random.usize(0..pool.len().max(1)))?;
        let target = targets.get(id)?;
        drawn = Some(target);
        if random.f64() < target.weight(now) {
            break;
        }
    }
    drawn
}
