//! One service as a daemon knows it.

use std::{rc::Rc, time::Duration};

use crate::clock::BootTime;

use super::{DecayingSum, TargetId};

/// Half-life of the count of work.
const WORK_HALF_LIFE: Duration = Duration::from_secs(2);

/// Identity of a service within one daemon, never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(pub u32);

/// One service as a daemon knows it; its sets are rebuilt on a change or when they are old.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub name: Rc<str>,
    /// All its targets.
    pub targets: Vec<TargetId>,
    /// The targets to route to.
    pub routing: Vec<TargetId>,
    /// The ejected targets that get a small share of idempotent work.
    pub on_trial: Vec<TargetId>,
    /// When the sets were built; none when they must be built again.
    pub built_at: Option<BootTime>,
    work: DecayingSum,
    answered: DecayingSum,
    latency_s: DecayingSum,
}

impl Service {
    /// Makes a service without targets.
    pub fn new(name: Rc<str>) -> Self {
        Self {
            name,
            targets: Vec::new(),
            routing: Vec::new(),
            on_trial: Vec::new(),
            built_at: None,
            work: DecayingSum::default(),
            answered: DecayingSum::default(),
            latency_s: DecayingSum::default(),
        }
    }

    /// Counts a request that is sent to a target.
    pub fn record_dispatch(&mut self, now: BootTime) {
        self.work.add(1.0, now, WORK_HALF_LIFE);
    }

    /// Takes note of the latency of a good answer.
    pub fn record_answer(&mut self, latency: Duration, now: BootTime) {
        self.answered.add(1.0, now, WORK_HALF_LIFE);
        self.latency_s
            .add(latency.as_secs_f64(), now, WORK_HALF_LIFE);
    }

    /// Returns the recent mean latency of good answers, zero when there were none.
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

    /// Returns the recent rate of requests per target, 1/s.
    pub fn rate_per_target(&self, now: BootTime) -> f64 {
        let count = self.work.get(now, WORK_HALF_LIFE);
        let mean_age_s = WORK_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        count / mean_age_s / self.targets.len().max(1) as f64
    }
}
