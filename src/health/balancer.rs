//! Choice of a target for a request.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::{clock::BootTime, platform::ListedHost};

use super::{routing_set, Candidate, Detector, Observation, Target, TargetId, TargetState};

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// The service has no target that takes work.
    NoTarget,
}

/// Knows all targets and chooses one for each request.
pub struct Balancer {
    detector: Box<dyn Detector>,
    floor: f64,
    targets: FxHashMap<TargetId, Target>,
    services: FxHashMap<String, Vec<TargetId>>,
    by_name: FxHashMap<Rc<str>, TargetId>,
    next_id: u32,
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
            by_name: FxHashMap::default(),
            next_id: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Takes over the platform's list; hosts of the fleet itself are skipped.
    pub fn set_targets(&mut self, hosts: &[ListedHost]) {
        let mut services: FxHashMap<String, Vec<TargetId>> = FxHashMap::default();
        let mut by_name = FxHashMap::default();
        for host in hosts {
            let Some(service) = &host.service else {
                continue;
            };
            let id = self.upsert(host);
            by_name.insert(self.targets[&id].name.clone(), id);
            services.entry(service.clone()).or_default().push(id);
        }
        let gone: Vec<TargetId> = self
            .by_name
            .iter()
            .filter(|(name, id)| by_name.get(*name) != Some(id))
            .map(|(_, id)| *id)
            .collect();
        for id in gone {
            self.targets.remove(&id);
            self.detector.forget(id);
        }
        self.services = services;
        self.by_name = by_name;
    }

    fn upsert(&mut self, host: &ListedHost) -> TargetId {
        let known = self.by_name.get(host.name.as_str()).copied();
        if let Some(target) = known.and_then(|id| self.targets.get_mut(&id)) {
            if target.address == host.address {
                target.slots = host.slots.max(1);
                if host.leaving {
                    target.state = TargetState::Leaving;
                }
                return target.id;
            }
        }
        let id = TargetId(self.next_id);
        self.next_id += 1;
        let state = if host.leaving {
            TargetState::Leaving
        } else {
            TargetState::Serving
        };
        let target = Target {
            id,
            name: Rc::from(host.name.as_str()),
            address: host.address,
            slots: host.slots.max(1),
            state,
            in_flight: 0,
            reported_load: 0.0,
        };
        self.targets.insert(id, target);
        id
    }

    /// Chooses a target of `service` and counts a request in flight on it.
    ///
    /// # Errors
    ///
    /// Returns [`PickError::NoTarget`] when no target takes work.
    pub fn pick(
        &mut self,
        service: &str,
        avoid: &[TargetId],
        now: BootTime,
    ) -> Result<&Target, PickError> {
        let candidates = self.candidates(service, now);
        let set = routing_set(&candidates, self.floor);
        let fresh: Vec<TargetId> = set
            .iter()
            .filter(|id| !avoid.contains(id))
            .copied()
            .collect();
        let pool = if fresh.is_empty() { &set } else { &fresh };
        let id = self.choose_of_two(pool).ok_or(PickError::NoTarget)?;
        let target = self.targets.get_mut(&id).ok_or(PickError::NoTarget)?;
        target.in_flight += 1;
        Ok(target)
    }

    fn candidates(&self, service: &str, now: BootTime) -> Vec<Candidate> {
        let ids = self.services.get(service).map_or(&[][..], Vec::as_slice);
        ids.iter()
            .filter_map(|id| self.targets.get(id))
            .filter(|t| t.state != TargetState::Leaving)
            .map(|t| Candidate {
                id: t.id,
                slots: t.slots,
                suspicion: self.detector.suspicion(t.id, now),
            })
            .collect()
    }

    fn choose_of_two(&mut self, pool: &[TargetId]) -> Option<TargetId> {
        let first = *pool.get(self.random.usize(0..pool.len().max(1)))?;
        let second = pool[self.random.usize(0..pool.len())];
        if self.load_of(second) < self.load_of(first) {
            return Some(second);
        }
        Some(first)
    }

    fn load_of(&self, id: TargetId) -> f64 {
        self.targets.get(&id).map_or(f64::MAX, |t| {
            f64::from(t.in_flight) / f64::from(t.slots) + t.reported_load
        })
    }

    /// Ends a request in flight.
    pub fn release(&mut self, id: TargetId) {
        if let Some(target) = self.targets.get_mut(&id) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    /// Takes note of one piece of work.
    pub fn observe(&mut self, id: TargetId, obs: &Observation, now: BootTime) {
        if self.targets.contains_key(&id) {
            self.detector.observe(id, obs, now);
        }
    }

    /// Takes note of what a target said of itself.
    pub fn report_state(&mut self, id: TargetId, state: TargetState, load: Option<f64>) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        target.state = state;
        if let Some(load) = load {
            target.reported_load = load;
        }
    }

    /// Returns all targets with their suspicion at `now`, in no order.
    pub fn targets(&self, now: BootTime) -> impl Iterator<Item = (&Target, f64)> {
        self.targets
            .values()
            .map(move |t| (t, self.detector.suspicion(t.id, now)))
    }
}
