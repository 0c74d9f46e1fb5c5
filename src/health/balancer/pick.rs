//! Selection among the targets of a service.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::{
    clock::BootTime,
    pool::{MAX_IDLE, MAX_RECENT_IDLE},
};

use super::{
    super::{
        routing_set, AttemptId, BreakerState, Candidate, ServiceId, Target, TargetId, TokenKind,
    },
    Balancer, Choice, PickError, PickRequest, MAX_DRAWS, REBUILD_INTERVAL, TRIAL_SHARE,
};

/// Share of idempotent first attempts that half-open targets receive.
const HALF_OPEN_SHARE: f64 = 0.5;
/// Number of candidates drawn from the local data centre for one choice.
const LOCAL_DRAWS: usize = 2;
/// Number of candidates drawn from all data centres for one choice.
const GLOBAL_DRAWS: usize = 2;
/// Cost of a target in another data centre, as a share of the slots that is added to its load.
const REMOTE_COST: f64 = 0.4;

/// Cost of a target without an idle connection, as a share of the slots that is added to its load.
const CONNECT_COST: f64 = 0.4;
/// Time from the choice of a target of a service with warm-up limits to the first byte of the
/// request. Opening a connection takes at most half of it; a process that was suspended must not
/// send a request with a token of an earlier time.
const MAX_TOKEN_AGE: Duration = Duration::from_millis(500);

/// Returns the maximum idle time of a connection that a request may be sent on.
fn max_idle(repeatable: bool) -> Duration {
    if repeatable {
        MAX_IDLE
    } else {
        MAX_RECENT_IDLE
    }
}

impl Balancer {
    /// Picks a target and starts a request in flight on it.
    ///
    /// # Errors
    ///
    /// Returns [`PickError::NoTarget`] if the service has no target, [`PickError::Throttled`] if no
    /// target accepts a request of this daemon now, and [`PickError::Busy`] if this daemon has
    /// reached its concurrency limit at all that do.
    pub fn pick(&mut self, req: &PickRequest<'_>, now: BootTime) -> Result<Choice, PickError> {
        let service = *self
            .service_ids
            .get(req.service)
            .ok_or(PickError::NoTarget)?;
        self.refresh_sets(service, now);
        let trial = self.draw_trial(service, req, now);
        let id = match trial.or_else(|| self.draw_half_open(service, req, now)) {
            Some(id) => id,
            None => self.draw(service, req, now).inspect_err(|e| {
                let throttled = matches!(e, PickError::Throttled(_));
                if let Some(service) = self.services.get_mut(&service).filter(|_| throttled) {
                    service.record_throttled(now);
                }
            })?,
        };
        self.start(id, now).ok_or(PickError::NoTarget)
    }

    pub(super) fn start(&mut self, id: TargetId, now: BootTime) -> Option<Choice> {
        self.targets.get_mut(&id)?.throttle.record_sent(now);
        self.start_granted(id, now)
    }

    /// Starts a request in flight on a target for which another daemon gave a token.
    pub fn start_granted(&mut self, id: TargetId, now: BootTime) -> Option<Choice> {
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let target = self.targets.get_mut(&id)?;
        if target.evacuated.get() {
            return None;
        }
        target.idle_since.pop();
        target.in_flight.start(attempt, now);
        let mut is_limited = false;
        if let Some(service) = self.services.get_mut(&target.service) {
            service.record_dispatch(now);
            is_limited = self.warmup_terms.contains_key(&service.name);
        }
        Some(Choice {
            id,
            attempt,
            address: target.address,
            name: target.name.clone(),
            evacuated: target.evacuated.clone(),
            send_by: is_limited.then_some(now + MAX_TOKEN_AGE),
        })
    }

    /// Returns the targets of a service that only their limit keeps from this daemon, each with the
    /// kind of the token that it lacks.
    pub fn borrowable_targets(
        &self,
        service: &str,
        avoid: &[TargetId],
        now: BootTime,
    ) -> Vec<(&Target, TokenKind)> {
        let service = self.service_ids.get(service);
        let routing = service.and_then(|id| self.services.get(id));
        let routing = routing.map_or(&[][..], |service| &service.routing);
        let found = routing.iter().filter_map(|id| self.targets.get(id));
        let usable = found.filter(|t| {
            let is_closed = t.breaker.state(now) == BreakerState::Closed;
            is_closed && !t.is_excluded() && !avoid.contains(&t.id)
        });
        let limited = usable.filter_map(|t| Some((t, t.throttle.borrowable_token(now)?)));
        limited.collect()
    }

    /// Takes a token of a limited target for a request of another daemon, which may know that the
    /// target is cold; returns whether there was one.
    pub fn lend_token(&mut self, name: &str, is_cold: bool, now: BootTime) -> bool {
        let id = self.by_name.get(name);
        let target = id.and_then(|id| self.targets.get_mut(id));
        target.is_some_and(|t| !t.evacuated.get() && t.throttle.lend(is_cold, now))
    }

    /// Returns the cost of the distance of a target in another data centre.
    pub(super) fn remote_cost(&self, target: &Target) -> f64 {
        let local = self.data_centre.as_deref();
        if local.is_none_or(|local| *target.data_centre == *local) {
            return 0.0;
        }
        REMOTE_COST
    }

    /// Draws an idle target on trial for a small share of the idempotent first attempts.
    fn draw_trial(
        &mut self,
        service: ServiceId,
        req: &PickRequest<'_>,
        now: BootTime,
    ) -> Option<TargetId> {
        let on_trial = &self.services.get(&service)?.on_trial;
        let eligible = req.repeatable && req.avoid.is_empty() && !on_trial.is_empty();
        if !eligible || self.rng.f64() >= TRIAL_SHARE {
            return None;
        }
        let id = on_trial[self.rng.usize(0..on_trial.len())];
        let target = self.targets.get(&id)?;
        (target.in_flight.is_empty() && target.accepts(now)).then_some(id)
    }

    /// Draws an idle target with a half-open breaker for a share of the idempotent first attempts,
    /// which can be retried on another target.
    fn draw_half_open(
        &mut self,
        service: ServiceId,
        req: &PickRequest<'_>,
        now: BootTime,
    ) -> Option<TargetId> {
        if !req.repeatable || !req.avoid.is_empty() || self.rng.f64() >= HALF_OPEN_SHARE {
            return None;
        }
        let routing = &self.services.get(&service)?.routing;
        let found = routing.iter().filter_map(|id| self.targets.get(id));
        let idle = found.filter(|t| t.in_flight.is_empty() && t.accepts(now));
        let due = idle.filter(|t| t.breaker.is_test_due(now));
        let due: Vec<TargetId> = due.map(|t| t.id).collect();
        let i = self.rng.usize(0..due.len().max(1));
        due.get(i).copied()
    }

    fn draw(
        &mut self,
        service: ServiceId,
        req: &PickRequest<'_>,
        now: BootTime,
    ) -> Result<TargetId, PickError> {
        let service = self.services.get(&service).ok_or(PickError::NoTarget)?;
        if service.routing.is_empty() {
            return Err(PickError::NoTarget);
        }
        let targets = &self.targets;
        let closed = closed_targets(&service.routing, targets, self.floor, now);
        let open = accepting_targets(&closed, targets, now).map_err(PickError::Throttled)?;
        let is_free = |id: &&TargetId| targets.get(id).is_some_and(|t| !t.is_full());
        let all_free = || open.iter().filter(is_free).copied();
        let mut free: Vec<TargetId> = all_free().filter(|id| !req.avoid.contains(id)).collect();
        if free.is_empty() {
            free = all_free().collect();
        }
        let rng = &mut self.rng;
        let local_data_centre = self.data_centre.as_deref();
        let is_local = |id: &TargetId| {
            let data_centre = targets.get(id).map(|t| &*t.data_centre);
            local_data_centre.is_none() || data_centre == local_data_centre
        };
        let local: Vec<TargetId> = free.iter().copied().filter(is_local).collect();
        let mut candidates = Vec::with_capacity(LOCAL_DRAWS + GLOBAL_DRAWS);
        for _ in 0..LOCAL_DRAWS {
            candidates.extend(draw_weighted(&local, targets, rng, now));
        }
        for _ in 0..GLOBAL_DRAWS {
            candidates.extend(draw_weighted(&free, targets, rng, now));
        }
        let max_idle = max_idle(req.repeatable);
        let is_connected =
            |t: &&Target| local_data_centre.is_some() && t.is_connected(max_idle, now);
        candidates.extend(
            local
                .iter()
                .filter_map(|id| targets.get(id))
                .filter(is_connected),
        );
        let cost = |t: &&Target| {
            let remote = if is_local(&t.id) { 0.0 } else { REMOTE_COST };
            let connect = if is_connected(t) { 0.0 } else { CONNECT_COST };
            t.load_with_next(now) + remote + connect
        };
        let best = candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.map(|t| t.id).ok_or(PickError::Busy)
    }

    /// Rebuilds the target sets of a service if they were invalidated or are too old.
    pub(super) fn refresh_sets(&mut self, service: ServiceId, now: BootTime) {
        let Some(old) = self.services.get(&service) else {
            return;
        };
        let is_fresh = |at: BootTime| now.since(at) < REBUILD_INTERVAL;
        if old.built_at.is_some_and(is_fresh) {
            return;
        }
        let mut candidates = Vec::with_capacity(old.targets.len());
        let mut on_trial = Vec::new();
        let live = old.targets.iter().filter_map(|id| self.targets.get(id));
        for target in live.filter(|t| !t.is_excluded()) {
            let health = self.detector.health(target.id, now);
            candidates.push(Candidate {
                id: target.id,
                slots: target.slots,
                suspicion: health.suspicion,
            });
            if health.on_trial {
                on_trial.push(target.id);
            }
        }
        let routing = routing_set(&candidates, self.floor);
        on_trial.retain(|id| !routing.contains(id));
        let readmitted: Vec<TargetId> = old
            .on_trial
            .iter()
            .filter(|id| routing.contains(id))
            .copied()
            .collect();
        for id in readmitted {
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

    pub(super) fn invalidate(&mut self, service: ServiceId) {
        if let Some(service) = self.services.get_mut(&service) {
            service.built_at = None;
        }
    }
}

/// Returns the targets of `routing` whose breakers are closed.
///
/// If they have less than the share `floor` of the capacity, half-open ones are added, starting
/// with the one whose failure is the oldest. At least one target is always returned.
fn closed_targets(
    routing: &[TargetId],
    targets: &FxHashMap<TargetId, Target>,
    floor: f64,
    now: BootTime,
) -> Vec<TargetId> {
    let is_closed = |t: &&Target| t.breaker.state(now) == BreakerState::Closed;
    let found = routing.iter().filter_map(|id| targets.get(id));
    let (closed, mut failed): (Vec<&Target>, Vec<&Target>) = found.partition(is_closed);
    let capacity = |set: &[&Target]| set.iter().map(|t| f64::from(t.slots)).sum::<f64>();
    let floor_slots = floor * (capacity(&failed) + capacity(&closed));
    let mut slots = capacity(&closed);
    let mut set: Vec<TargetId> = closed.iter().map(|t| t.id).collect();
    failed.sort_by_key(|t| (t.breaker.failed_at(), t.id));
    for target in failed {
        let half_open = target.breaker.state(now) == BreakerState::HalfOpen;
        if set.is_empty() || (half_open && slots < floor_slots) {
            slots += f64::from(target.slots);
            set.push(target.id);
        }
    }
    set
}

/// Returns those of the targets `ids` that accept a request of this daemon now.
///
/// # Errors
///
/// Returns the shortest time until one of them does if there are none.
fn accepting_targets(
    ids: &[TargetId],
    targets: &FxHashMap<TargetId, Target>,
    now: BootTime,
) -> Result<Vec<TargetId>, Duration> {
    let mut accepting = Vec::with_capacity(ids.len());
    let mut shortest = Duration::MAX;
    for target in ids.iter().filter_map(|id| targets.get(id)) {
        match target.throttle.wait(now) {
            Duration::ZERO => accepting.push(target.id),
            wait => shortest = shortest.min(wait),
        }
    }
    if accepting.is_empty() {
        return Err(shortest);
    }
    Ok(accepting)
}

/// Draws targets at random until one is accepted, with a probability equal to its weight. The
/// last of [`MAX_DRAWS`] draws is accepted anyway.
fn draw_weighted<'a>(
    pool: &[TargetId],
    targets: &'a FxHashMap<TargetId, Target>,
    rng: &mut fastrand::Rng,
    now: BootTime,
) -> Option<&'a Target> {
    let mut drawn = None;
    for _ in 0..MAX_DRAWS {
        let id = pool.get(rng.usize(0..pool.len().max(1)))?;
        let target = targets.get(id)?;
        drawn = Some(target);
        if rng.f64() < target.weight(now) {
            break;
        }
    }
    drawn
}
