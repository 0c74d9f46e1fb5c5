//! State of one service in a daemon.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{DecayingSum, TargetId};

/// Half-life of the request counts and of the latency sum.
const WORK_HALF_LIFE: Duration = Duration::from_secs(2);

/// Time after a request that no target accepted for which a service counts as throttled.
const THROTTLED_TIME: Duration = Duration::from_secs(1);
/// Fewest recent requests from which the latency of a data centre is known.
const MIN_CENTRE_REQUESTS: f64 = 4.0;

/// Identity of a service within one daemon, never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(pub u32);

/// Recent successful responses of the targets in one data centre.
#[derive(Debug, Clone, Default)]
struct CentreAnswers {
    answered: DecayingSum,
    latency_s: DecayingSum,
}

/// State of one service in a daemon. Its target sets are rebuilt after a change or when they are
/// too old.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub name: Rc<str>,
    /// All targets of the service.
    pub targets: Vec<TargetId>,
    /// Targets to route to.
    pub routing: Vec<TargetId>,
    /// Ejected targets that receive a small share of the idempotent requests.
    pub on_trial: Vec<TargetId>,
    /// Time at which the sets were built; `None` if they must be rebuilt.
    pub built_at: Option<BootTime>,
    /// When no target last accepted a request.
    throttled_at: Option<BootTime>,
    dispatched: DecayingSum,
    answered: DecayingSum,
    latency_s: DecayingSum,
    centres: FxHashMap<Rc<str>, CentreAnswers>,
}

impl Service {
    /// Creates a service without targets.
    pub fn new(name: Rc<str>) -> Self {
        Self {
            name,
            targets: Vec::new(),
            routing: Vec::new(),
            on_trial: Vec::new(),
            built_at: None,
            throttled_at: None,
            dispatched: DecayingSum::default(),
            answered: DecayingSum::default(),
            latency_s: DecayingSum::default(),
            centres: FxHashMap::default(),
        }
    }

    /// Records that no target accepted a request.
    pub fn record_throttled(&mut self, now: BootTime) {
        self.throttled_at = Some(now);
    }

    /// Returns whether no target accepted a request lately.
    pub fn is_throttled(&self, now: BootTime) -> bool {
        let at = self.throttled_at;
        at.is_some_and(|at| now.since(at) < THROTTLED_TIME)
    }

    /// Counts a request that was dispatched to a target.
    pub fn record_dispatch(&mut self, now: BootTime) {
        self.dispatched.add(1.0, now, WORK_HALF_LIFE);
    }

    /// Records the latency of a successful response of a target in `data_centre`.
    pub fn record_answer(&mut self, data_centre: &Rc<str>, latency: Duration, now: BootTime) {
        let centre = self.centres.entry(data_centre.clone()).or_default();
        centre.answered.add(1.0, now, WORK_HALF_LIFE);
        let latency_s = latency.as_secs_f64();
        centre.latency_s.add(latency_s, now, WORK_HALF_LIFE);
        self.answered.add(1.0, now, WORK_HALF_LIFE);
        self.latency_s
            .add(latency.as_secs_f64(), now, WORK_HALF_LIFE);
    }

    /// Returns the recent mean latency of successful responses, or zero if there were none.
    pub fn mean_latency(&self, now: BootTime) -> Duration {
        let answered = self.answered.get(now, WORK_HALF_LIFE);
        let sum_s = self.latency_s.get(now, WORK_HALF_LIFE);
        let mean_s = if answered > 0.0 {
            sum_s / answered
        } else {
            0.0
        };
        Duration::try_from_secs_f64(mean_s).unwrap_or_default()
    }

    /// Returns the data centres whose targets answered.
    pub fn centres(&self) -> impl Iterator<Item = &str> {
        self.centres.keys().map(|centre| &**centre)
    }

    /// Returns the recent mean latency in a data centre, in s, where `unanswered` requests that took
    /// `age` so far count, too; `None` if there were too few requests.
    pub fn centre_latency_s(
        &self,
        centre: &str,
        unanswered: f64,
        age: Duration,
        now: BootTime,
    ) -> Option<f64> {
        let recent = |sum: &DecayingSum| sum.get(now, WORK_HALF_LIFE);
        let centre = self.centres.get(centre);
        let count = centre.map_or(0.0, |c| recent(&c.answered)) + unanswered;
        let sum_s = centre.map_or(0.0, |c| recent(&c.latency_s)) + age.as_secs_f64();
        (count >= MIN_CENTRE_REQUESTS).then(|| sum_s / count)
    }

    /// Returns the recent request rate per target, in 1/s.
    pub fn rate_per_target(&self, now: BootTime) -> f64 {
        let count = self.dispatched.get(now, WORK_HALF_LIFE);
        let mean_age_s = WORK_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        count / mean_age_s / self.targets.len().max(1) as f64
    }
}
