//! Feedback about targets: results of requests and probes, reports of targets, and alarms.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use crate::{clock::BootTime, proxy::TargetReport};

use super::{
    super::{
        breaker::MAX_STAGGER, AttemptId, FleetShare, Lateness, LimitNews, Observation, Suspicion,
        Target, TargetId, TargetState, WorkResult,
    },
    Balancer, DRAINING_PROBE_INTERVAL, MAX_SUSPICIONS, SILENT_FACTOR,
};

impl Balancer {
    /// Ends a request in flight.
    pub fn release(&mut self, id: TargetId, attempt: AttemptId) {
        if let Some(target) = self.targets.get_mut(&id) {
            target.in_flight.end(attempt);
        }
    }

    /// Records the result of a request.
    pub fn observe(&mut self, id: TargetId, attempt: AttemptId, obs: &Observation, now: BootTime) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        match obs.result {
            WorkResult::Shed => target.record_shed(now),
            WorkResult::Success => {
                target.record_success(now);
                if target.breaker.record_success(now) {
                    self.recovered.push(target.name.clone());
                }
                if let Some(service) = self.services.get_mut(&target.service) {
                    service.record_answer(&target.data_centre, obs.latency, now);
                }
            }
            _ => {}
        }
        if target.in_flight.lateness(attempt) == Lateness::InTime {
            self.assess(id, obs, now);
        }
    }

    /// Opens the breaker of a target that aborted a request.
    pub fn trip_breaker(&mut self, id: TargetId, now: BootTime) {
        let stagger = MAX_STAGGER.mul_f64(self.rng.f64());
        if let Some(target) = self.targets.get_mut(&id) {
            target.breaker.record_failure(now, stagger);
        }
    }

    /// Returns the names of the targets whose breakers were closed by a success since the last
    /// call.
    pub fn take_recovered(&mut self) -> Vec<Rc<str>> {
        std::mem::take(&mut self.recovered)
    }

    /// Closes the half-open breakers of targets that have recovered for other daemons.
    pub fn close_breakers(&mut self, names: &[String], now: BootTime) {
        for name in names {
            let id = self.by_name.get(name.as_str());
            if let Some(target) = id.and_then(|id| self.targets.get_mut(id)) {
                target.breaker.record_success(now);
            }
        }
    }

    /// Opens the breakers of targets that aborted requests of other daemons.
    pub fn trip_breakers(&mut self, names: &[String], now: BootTime) {
        for name in names {
            if let Some(id) = self.by_name.get(name.as_str()).copied() {
                self.trip_breaker(id, now);
            }
        }
    }

    /// Passes an observation to the detector, and buffers its evidence for other daemons.
    fn assess(&mut self, id: TargetId, obs: &Observation, now: BootTime) {
        let assessment = self.detector.observe(id, obs, now);
        self.handle_change(id, assessment.changed, now);
        if assessment.nats_against <= 0.0 || self.suspicions.len() >= MAX_SUSPICIONS {
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
            nats: assessment.nats_against,
            siblings: service.targets.len() as u32,
            work_per_s: service.rate_per_target(now),
        });
    }

    /// Returns the suspicions that were buffered since the last call.
    pub fn take_suspicions(&mut self) -> Vec<Suspicion> {
        std::mem::take(&mut self.suspicions)
    }

    fn handle_change(&mut self, id: TargetId, changed: bool, now: BootTime) {
        let Some(service) = self.targets.get(&id).map(|t| t.service) else {
            return;
        };
        if !changed {
            return;
        }
        self.invalidate(service);
        if self.detector.health(id, now).suspicion >= 1.0 {
            self.ejections += 1;
        }
    }

    /// Detects overdue requests at all targets.
    pub fn tick(&mut self, now: BootTime) {
        let busy = self.targets.values().filter(|t| !t.in_flight.is_empty());
        let ids: Vec<TargetId> = busy.map(|t| t.id).collect();
        for id in ids {
            self.detect_overdue(id, now);
        }
    }

    fn detect_overdue(&mut self, id: TargetId, now: BootTime) {
        let Some(overdue_after) = self.detector.overdue_after(id, now) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        let silent_after = overdue_after * SILENT_FACTOR;
        let overdue = target
            .in_flight
            .mark_late(Lateness::Overdue, overdue_after, now);
        let silent = target
            .in_flight
            .mark_late(Lateness::Silent, silent_after, now);
        for _ in 0..overdue {
            self.assess_late(id, WorkResult::Overdue, overdue_after, now);
        }
        for _ in 0..silent {
            self.assess_late(id, WorkResult::Silent, silent_after, now);
        }
    }

    fn assess_late(&mut self, id: TargetId, result: WorkResult, latency: Duration, now: BootTime) {
        self.assess(id, &Observation { result, latency }, now);
    }

    /// Applies state and load that a target reported in a response.
    pub fn apply_report(&mut self, id: TargetId, report: TargetReport, now: BootTime) {
        if let (Some(load), Some(target)) = (report.load, self.targets.get_mut(&id)) {
            target.set_load(load, now);
        }
        if let Some(state) = report.state {
            self.update_state(id, state, None, now);
        }
    }

    /// Applies the limit on the fleet's requests that a target named in a response, or that it
    /// names none; returns what the fleet should be told.
    pub fn apply_named_limit(
        &mut self,
        id: TargetId,
        limit_per_s: Option<f64>,
        share: FleetShare,
        now: BootTime,
    ) -> Option<LimitNews> {
        let level = self.rng.f64();
        let target = self.targets.get_mut(&id)?;
        match limit_per_s {
            Some(limit) => target.throttle.record_named(limit, share, level, now),
            None => {
                let news = target.throttle.record_unnamed(now)?;
                target.ramp_from = Some(now);
                Some(news)
            }
        }
    }

    /// Applies what another daemon told about the limit of a target; returns whether it is news.
    pub fn apply_limit_news(
        &mut self,
        name: &str,
        news: LimitNews,
        share: FleetShare,
        now: BootTime,
    ) -> bool {
        let level = self.rng.f64();
        let id = self.by_name.get(name);
        let Some(target) = id.and_then(|id| self.targets.get_mut(id)) else {
            return false;
        };
        let changed = target.throttle.apply_news(news, share, level, now);
        if changed && news == LimitNews::Lifted {
            target.ramp_from = Some(now);
        }
        changed
    }

    /// Records that a target wants no requests of this daemon for `pause`.
    pub fn apply_pause(&mut self, id: TargetId, pause: Duration, now: BootTime) {
        if let Some(target) = self.targets.get_mut(&id) {
            target.throttle.record_pause(pause, now);
        }
    }

    /// Records that a target leaves for good; returns whether this is news.
    pub fn apply_leaving(&mut self, id: TargetId) -> bool {
        let Some(target) = self.targets.get_mut(&id) else {
            return false;
        };
        let is_news = target.throttle.record_leaving();
        let service = target.service;
        if is_news {
            self.invalidate(service);
        }
        is_news
    }

    /// Records what another daemon told of a target that leaves for good, unless it has started
    /// again since; returns whether this is news.
    pub fn apply_leaving_news(&mut self, name: &str, born: Option<u64>) -> bool {
        let Some(target) = self.target_by_name(name) else {
            return false;
        };
        let id = target.id;
        target.born == born && self.apply_leaving(id)
    }

    /// Applies the state, and the load if any, that a target reported.
    pub fn update_state(
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
            target.set_load(load, now);
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

    /// Applies an alarm that the combined evidence of several daemons raised against a target.
    pub fn apply_fleet_alarm(&mut self, name: &str, now: BootTime) {
        if let Some(id) = self.by_name.get(name).copied() {
            let changed = self.detector.apply_fleet_alarm(id, now);
            self.handle_change(id, changed, now);
        }
    }

    /// Returns the targets to probe now.
    pub fn targets_to_probe(&self, now: BootTime) -> Vec<(TargetId, SocketAddr)> {
        let is_due_draining = |t: &Target| {
            let age = now.since(t.load_at);
            t.state == TargetState::Leaving && age >= DRAINING_PROBE_INTERVAL
        };
        let stays =
            |t: &&Target| !t.listed_leaving && !t.throttle.is_leaving() && !t.evacuated.get();
        let live = self.targets.values().filter(stays);
        let due = live.filter(|t| is_due_draining(t) || self.detector.needs_probe(t.id, now));
        let mut probes: Vec<_> = due.map(|t| (t.id, t.address)).collect();
        for probe in self.unverified_targets(now) {
            if !probes.contains(&probe) {
                probes.push(probe);
            }
        }
        probes
    }

    /// Records the result of a probe, and the state that the target reported in its response.
    pub fn record_probe(
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
            self.update_state(id, state, None, now);
        }
        let changed = self.detector.record_probe(id, healthy, now);
        self.handle_change(id, changed, now);
    }
}
