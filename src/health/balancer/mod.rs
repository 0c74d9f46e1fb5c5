//! All targets of a daemon: their list, the evidence on them, and the choice among them.

mod feedback;
mod pick;
mod target_list;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{AttemptId, Detector, Service, ServiceId, Suspicion, Target, TargetId};

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
    pub attempt: AttemptId,
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
    next_attempt: u64,
    ejections: u64,
    suspicions: Vec<Suspicion>,
    recovered: Vec<Rc<str>>,
    /// Data centre of this host; none makes no difference between data centres.
    data_centre: Option<Rc<str>>,
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
            next_attempt: 0,
            ejections: 0,
            suspicions: Vec::new(),
            recovered: Vec::new(),
            data_centre: None,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Prefers targets of `data_centre`, and those with an idle connection, among those that are
    /// about equally busy.
    pub fn prefer_data_centre(mut self, data_centre: &str) -> Self {
        self.data_centre = Some(Rc::from(data_centre));
        self
    }

    /// Returns the targets that a service routes to, the least suspect first.
    pub fn routed_targets(&mut self, service: &str, now: BootTime) -> Vec<TargetId> {
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
    pub fn target_by_name(&self, name: &str) -> Option<&Target> {
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
            .map(move |t| (t, self.detector.health(t.id, now).suspicion))
    }
}
