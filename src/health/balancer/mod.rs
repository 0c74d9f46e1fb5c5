//! Load balancer of a daemon: its target list, feedback about targets, and target selection.

mod evacuation;
mod feedback;
mod hedge;
mod pick;
mod target_list;
mod warmup;

pub use warmup::EntryWarmup;

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use rustc_hash::FxHashMap;

use crate::{clock::BootTime, store::StoreVersion};

use super::{
    AttemptId, Detector, QueueRejection, Service, ServiceId, Suspicion, Target, TargetId,
    WarmupTerms,
};

/// Maximum age of the routing set of a service before it is rebuilt.
const REBUILD_INTERVAL: Duration = Duration::from_millis(100);
/// Share of idempotent first attempts that targets on trial receive.
const TRIAL_SHARE: f64 = 0.05;
/// Maximum number of draws after which a target with a low weight is accepted anyway.
const MAX_DRAWS: usize = 8;
/// Multiple of the overdue limit at which no response is expected any more.
const SILENT_FACTOR: u32 = 4;
/// Maximum number of suspicions buffered for other daemons.
const MAX_SUSPICIONS: usize = 256;
/// Time between probes of a target that reported that it is draining.
const DRAINING_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Why no target was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// The service has no target that accepts requests.
    NoTarget,
    /// This daemon has reached its concurrency limit at all targets.
    Busy,
    /// All targets limited their requests, and none accepts one of this daemon for this time.
    Throttled(Duration),
    /// The queue rejected the request.
    Overloaded(QueueRejection),
}

/// A request for a target.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Targets of earlier attempts, which are avoided if possible.
    pub avoid: &'a [TargetId],
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// A chosen target.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Identity of the target.
    pub id: TargetId,
    /// Identity of the request in flight.
    pub attempt: AttemptId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Name of the target.
    pub name: Rc<str>,
    /// Whether the data centre of the target has been evacuated since.
    pub evacuated: Rc<Cell<bool>>,
    /// When another target must be picked if the request has not been sent; `None` for never.
    pub send_by: Option<BootTime>,
}

/// Keeps the state of all targets, and picks one for each request.
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
    /// Data centres whose targets receive nothing.
    evacuated: BTreeSet<Rc<str>>,
    /// Version and time of the end of the last evacuation of each data centre.
    returned: BTreeMap<Rc<str>, (Option<StoreVersion>, BootTime)>,
    /// Services whose cold targets take a limited rate.
    warmup_terms: BTreeMap<Rc<str>, WarmupTerms>,
    /// Targets that became cold, for which the place of this daemon in the fleet is needed.
    shares_needed: Vec<TargetId>,
    /// Makes daemons probe targets that may be cold in different orders.
    probe_offset: usize,
    /// Data centre of this host; `None` disables the preference for a data centre.
    data_centre: Option<Rc<str>>,
    rng: fastrand::Rng,
}

impl Balancer {
    /// Creates a balancer without targets.
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
            evacuated: BTreeSet::new(),
            returned: BTreeMap::new(),
            warmup_terms: BTreeMap::new(),
            shares_needed: Vec::new(),
            probe_offset: seed as usize,
            data_centre: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Makes the balancer prefer targets in `data_centre`, and targets with an idle connection,
    /// among targets with a similar load.
    pub fn prefer_data_centre(mut self, data_centre: &str) -> Self {
        self.data_centre = Some(Rc::from(data_centre));
        self
    }

    /// Returns the targets that a service routes to, with the lowest suspicion first.
    pub fn routed_targets(&mut self, service: &str, now: BootTime) -> Vec<TargetId> {
        let Some(id) = self.service_ids.get(service).copied() else {
            return Vec::new();
        };
        self.refresh_sets(id, now);
        self.services[&id].routing.clone()
    }

    /// Returns the recent mean latency of a service's successful responses, or zero if there were
    /// none.
    pub fn mean_latency(&self, service: &str, now: BootTime) -> Duration {
        let id = self.service_ids.get(service);
        let service = id.and_then(|id| self.services.get(id));
        service.map_or(Duration::ZERO, |s| s.mean_latency(now))
    }

    /// Returns the target with this name.
    pub fn target_by_name(&self, name: &str) -> Option<&Target> {
        self.by_name.get(name).and_then(|id| self.targets.get(id))
    }

    /// Returns the target with this identity.
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// Returns the service with this identity.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(&id)
    }

    /// Returns the detector.
    pub fn detector(&self) -> &dyn Detector {
        self.detector.as_ref()
    }

    /// Returns the number of times that a target was ejected or put on trial.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Returns all targets with their suspicion at `now`, in arbitrary order.
    pub fn targets(&self, now: BootTime) -> impl Iterator<Item = (&Target, f64)> {
        self.targets
            .values()
            .map(move |t| (t, self.detector.health(t.id, now).suspicion))
    }
}
