//! Choosing among the targets of a service.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::{
    clock::BootTime,
    pool::{MAX_IDLE, MAX_RECENT_IDLE},
};

use super::{
    super::{routing_set, AttemptId, BreakerState, Candidate, ServiceId, Target, TargetId},
    Balancer, Choice, PickError, PickRequest, MAX_DRAWS, REBUILD_INTERVAL, TRIAL_SHARE,
};

/// Share of idempotent first attempts that half-open targets get.
const HALF_OPEN_SHARE: f64 = 0.5;
/// Targets drawn from the own data centre for one choice.
const DRAWN_NEAR: usize = 2;
/// Targets drawn from all data centres for one choice.
const DRAWN_ANYWHERE: usize = 2;
/// Load, as a share of the slots, by which a target of another data centre must be less busy.
const FAR_COST: f64 = 0.4;

/// Load, as a share of the slots, by which a target without an idle connection must be less busy.
const CONNECT_COST: f64 = 0.4;

/// Returns the longest idle time of a connection that a request may be sent on.
fn longest_idle(repeatable: bool) -> Duration {
    if repeatable {
        MAX_IDLE
    } else {
        MAX_RECENT_IDLE
    }
}

impl Balancer {
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
        let trial = self.draw_trial(service, req);
        let id = match trial.or_else(|| self.draw_half_open(service, req, now)) {
            Some(id) => id,
            None => self.draw(service, req, now)?,
        };
        self.start(id, now).ok_or(PickError::NoTarget)
    }

    fn start(&mut self, id: TargetId, now: BootTime) -> Option<Choice> {
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let target = self.targets.get_mut(&id)?;
        target.idle_since.pop();
        target.in_flight.start(attempt, now);
        if let Some(service) = self.services.get_mut(&target.service) {
            service.record_dispatch(now);
        }
        Some(Choice {
            id,
            attempt,
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
        target.in_flight.is_empty().then_some(id)
    }

    /// Returns an idle target whose breaker is half-open for a part of the idempotent first
    /// attempts, which can be made again elsewhere.
    fn draw_half_open(
        &mut self,
        service: ServiceId,
        req: &PickRequest<'_>,
        now: BootTime,
    ) -> Option<TargetId> {
        if !req.repeatable || !req.avoid.is_empty() || self.random.f64() >= HALF_OPEN_SHARE {
            return None;
        }
        let routing = &self.services.get(&service)?.routing;
        let found = routing.iter().filter_map(|id| self.targets.get(id));
        let due = found.filter(|t| t.breaker.is_test_due(now) && t.in_flight.is_empty());
        let due: Vec<TargetId> = due.map(|t| t.id).collect();
        let drawn = self.random.usize(0..due.len().max(1));
        due.get(drawn).copied()
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
        let closed = closed_set(&service.routing, targets, self.floor, now);
        let free = |id: &&TargetId| targets.get(id).is_some_and(|t| !t.is_full());
        let all_free = || closed.iter().filter(free).copied();
        let mut free: Vec<TargetId> = all_free().filter(|id| !req.avoid.contains(id)).collect();
        if free.is_empty() {
            free = all_free().collect();
        }
        let random = &mut self.random;
        let own = self.data_centre.as_deref();
        let is_near = |id: &TargetId| {
            let centre = targets.get(id).map(|t| &*t.data_centre);
            own.is_none() || centre == own
        };
        let near: Vec<TargetId> = free.iter().copied().filter(is_near).collect();
        let mut drawn = Vec::with_capacity(DRAWN_NEAR + DRAWN_ANYWHERE);
        for _ in 0..DRAWN_NEAR {
            drawn.extend(draw_weighted(&near, targets, random, now));
        }
        for _ in 0..DRAWN_ANYWHERE {
            drawn.extend(draw_weighted(&free, targets, random, now));
        }
        let kept = longest_idle(req.repeatable);
        let is_kept = |t: &&Target| own.is_some() && t.is_connected(kept, now);
        drawn.extend(near.iter().filter_map(|id| targets.get(id)).filter(is_kept));
        let cost = |t: &&Target| {
            let far = if is_near(&t.id) { 0.0 } else { FAR_COST };
            let connect = if is_kept(t) { 0.0 } else { CONNECT_COST };
            t.load_with_next(now) + far + connect
        };
        let best = drawn.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.map(|t| t.id).ok_or(PickError::Busy)
    }

    /// Builds the sets of a service again when something changed or they are old.
    pub(super) fn refresh(&mut self, service: ServiceId, now: BootTime) {
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
            let standing = self.detector.health(target.id, now);
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

    pub(super) fn invalidate(&mut self, service: ServiceId) {
        if let Some(service) = self.services.get_mut(&service) {
            service.built_at = None;
        }
    }
}

/// Returns the targets of `routing` whose breakers are closed.
///
/// Half-open ones fill up what lacks to `floor`, those that failed longest ago first; one target
/// always stays.
fn closed_set(
    routing: &[TargetId],
    targets: &FxHashMap<TargetId, Target>,
    floor: f64,
    now: BootTime,
) -> Vec<TargetId> {
    let is_closed = |t: &&Target| t.breaker.state(now) == BreakerState::Closed;
    let found = routing.iter().filter_map(|id| targets.get(id));
    let (closed, mut failed): (Vec<&Target>, Vec<&Target>) = found.partition(is_closed);
    let capacity = |set: &[&Target]| set.iter().map(|t| f64::from(t.slots)).sum::<f64>();
    let wanted = floor * (capacity(&failed) + capacity(&closed));
    let mut held = capacity(&closed);
    let mut set: Vec<TargetId> = closed.iter().map(|t| t.id).collect();
    failed.sort_by_key(|t| (t.breaker.failed_at(), t.id));
    for target in failed {
        let half_open = target.breaker.state(now) == BreakerState::HalfOpen;
        if set.is_empty() || (half_open && held < wanted) {
            held += f64::from(target.slots);
            set.push(target.id);
        }
    }
    set
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
