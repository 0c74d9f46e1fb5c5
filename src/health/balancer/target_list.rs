//! Updates of the target list.

use std::{cell::Cell, rc::Rc};

use rustc_hash::FxHashSet;

use crate::{clock::BootTime, store::ListedHost};

use super::{
    super::{
        Breaker, InFlightRequests, Service, ServiceId, Target, TargetId, TargetState,
        TargetThrottle, WarmupState,
    },
    Balancer,
};

impl Balancer {
    /// Replaces the target list with the platform's; hosts of the fleet itself are skipped.
    ///
    /// Targets that are added after the first list ramp up from a small share of requests.
    pub fn set_targets(&mut self, hosts: &[ListedHost], now: BootTime) {
        let ramp_from = (!self.targets.is_empty()).then_some(now);
        let mut listed = FxHashSet::default();
        for host in hosts {
            if let Some(service) = &host.service {
                listed.insert(self.upsert(host, service, ramp_from, now));
            }
        }
        let unlisted = self.targets.keys().filter(|id| !listed.contains(id));
        for id in unlisted.copied().collect::<Vec<TargetId>>() {
            self.remove(id, now);
        }
    }

    fn remove(&mut self, id: TargetId, now: BootTime) {
        let Some(target) = self.targets.remove(&id) else {
            return;
        };
        self.detector.remove_target(id, now);
        if self.by_name.get(&target.name) == Some(&id) {
            self.by_name.remove(&target.name);
        }
        if let Some(service) = self.services.get_mut(&target.service) {
            service.targets.retain(|t| *t != id);
            service.built_at = None;
        }
    }

    fn upsert(
        &mut self,
        host: &ListedHost,
        service: &str,
        ramp_from: Option<BootTime>,
        now: BootTime,
    ) -> TargetId {
        let service = self.service_id(service);
        let known = self.by_name.get(host.name.as_str()).copied();
        if let Some(target) = known.and_then(|id| self.targets.get_mut(&id)) {
            let is_same_start = target.born == host.born || host.born.is_none();
            if target.address == host.address && target.service == service && is_same_start {
                let slots = host.slots.max(1);
                let moved = *target.data_centre != *host.data_centre;
                if moved {
                    target.data_centre = Rc::from(host.data_centre.as_str());
                    let evacuated = self.evacuated.contains(&target.data_centre);
                    target.evacuated.set(evacuated);
                }
                let changed =
                    moved || target.slots != slots || target.listed_leaving != host.leaving;
                target.slots = slots;
                target.listed_leaving = host.leaving;
                if changed {
                    self.invalidate(service);
                }
                return self.by_name[host.name.as_str()];
            }
        }
        self.insert(host, service, ramp_from, now)
    }

    fn insert(
        &mut self,
        host: &ListedHost,
        service: ServiceId,
        ramp_from: Option<BootTime>,
        now: BootTime,
    ) -> TargetId {
        let id = TargetId(self.next_id);
        self.next_id += 1;
        let slots = host.slots.max(1);
        let mut warmup = WarmupState::default();
        if ramp_from.is_none() {
            warmup = WarmupState::unverified(now);
        } else if let Some((version, at)) = self.returned.get(host.data_centre.as_str()) {
            warmup.record_return(*version, *at);
        }
        let target = Target {
            id,
            service,
            name: Rc::from(host.name.as_str()),
            address: host.address,
            born: host.born,
            data_centre: Rc::from(host.data_centre.as_str()),
            slots,
            listed_leaving: host.leaving,
            evacuated: Rc::new(Cell::new(
                self.evacuated.contains(host.data_centre.as_str()),
            )),
            state: TargetState::Serving,
            in_flight: InFlightRequests::default(),
            concurrency_limit: f64::from(slots),
            throttle: TargetThrottle::default(),
            warmup,
            breaker: Breaker::default(),
            idle_since: Vec::new(),
            ramp_from: ramp_from.or(host.cold.then_some(now)),
            load: 0.0,
            load_at: BootTime::default(),
        };
        self.by_name.insert(target.name.clone(), id);
        self.targets.insert(id, target);
        self.detector.add_target(id, service);
        self.update_warmup(id, now);
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
}
