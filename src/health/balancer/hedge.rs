//! Selection of a target with spare capacity for the second attempt of a hedged request.

use std::time::Duration;

use crate::clock::BootTime;

use super::{
    super::{BreakerState, Service, Target, TargetId, TargetState},
    Balancer, Choice,
};

/// Ratio of the latency of a data centre to that of the fastest other one above which it is slow as
/// a whole. The latencies of data centres differ by the distance from this host, too.
const SLOW_CENTRE_FACTOR: f64 = 2.0;

impl Balancer {
    /// Picks a target for a second attempt beside the one at `first`, and starts a request in flight
    /// on it. Returns `None` if no other target has a free slot and nothing against it: a target
    /// must not be leaving, evacuated, limited, cold, ramping up, on trial or suspected. Targets in
    /// the data centre of `first` are excluded if it is slow as a whole.
    pub fn pick_hedge(&mut self, service: &str, first: TargetId, now: BootTime) -> Option<Choice> {
        let service_id = *self.service_ids.get(service)?;
        self.refresh_sets(service_id, now);
        let service = self.services.get(&service_id)?;
        let centre = self.targets.get(&first).map(|t| t.data_centre.clone());
        let slow_centre = centre.filter(|centre| self.is_centre_slow(service, centre, now));
        let found = service
            .routing
            .iter()
            .filter_map(|id| self.targets.get(id))
            .filter(|t| t.id != first && Some(&t.data_centre) != slow_centre.as_ref())
            .filter(|t| self.may_hedge_to(t, now));
        // The cost of a remote target is that of its distance, as for other requests.
        let cost = |t: &Target| t.load_with_next(now) + self.remote_cost(t);
        let mut best: Vec<(f64, TargetId)> = found.map(|t| (cost(t), t.id)).collect();
        // Daemons that see the same loads should not all choose the same target.
        self.rng.shuffle(&mut best);
        let best = best.iter().min_by(|a, b| a.0.total_cmp(&b.0));
        let id = best.map(|(_, id)| *id)?;
        let choice = self.start(id, now)?;
        if let Some(target) = self.targets.get_mut(&id) {
            target.in_flight.leave_unjudged(choice.attempt);
        }
        Some(choice)
    }

    fn may_hedge_to(&self, target: &Target, now: BootTime) -> bool {
        let health = self.detector.health(target.id, now);
        let is_sound = target.breaker.state(now) == BreakerState::Closed
            && health.suspicion < 1.0
            && !health.on_trial;
        let is_limited = target.throttle.limit_per_s(now).is_some()
            || target.throttle.is_cold(now)
            || !target.accepts(now);
        let is_warm = target.state == TargetState::Serving && target.weight(now) >= 1.0;
        let has_capacity = !target.is_full() && target.load_with_next(now) <= 1.0;
        is_sound && is_warm && !is_limited && !target.is_excluded() && has_capacity
    }

    /// Returns whether the requests of this daemon take much longer in the data centre `name` than
    /// in another one. Requests in flight count if they have taken longer than the mean.
    fn is_centre_slow(&self, service: &Service, name: &str, now: BootTime) -> bool {
        let mean = service.mean_latency(now);
        let latency = |centre: &str| {
            let targets = service.targets.iter().filter_map(|id| self.targets.get(id));
            let ages = targets
                .filter(|t| &*t.data_centre == centre)
                .flat_map(|t| t.in_flight.ages(now))
                .filter(|age| *age > mean);
            let (count, sum) =
                ages.fold((0.0, Duration::ZERO), |(n, sum), age| (n + 1.0, sum + age));
            service.centre_latency_s(centre, count, sum, now)
        };
        let Some(own) = latency(name) else {
            return false;
        };
        let others = service.centres().filter(|centre| *centre != name);
        let fastest = others.filter_map(latency);
        let fastest = fastest.fold(f64::INFINITY, f64::min);
        own > fastest * SLOW_CENTRE_FACTOR
    }
}
