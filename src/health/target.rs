//! State of one target in a daemon.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use crate::clock::BootTime;

use super::{Breaker, InFlightRequests, ServiceId, TargetThrottle, WarmupState};

/// Time in which a cold target ramps up to its full share of requests.
pub const RAMP_DURATION: Duration = Duration::from_secs(5);
/// Share of requests at the start of the ramp, and while the target reports that it is cold.
const RAMP_START: f64 = 0.1;
/// Half-life of a reported load.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(300);
/// Factor of the concurrency limit for each shed response.
const LIMIT_DECREASE: f64 = 0.7;
/// Increment of the concurrency limit for each success, in requests.
const LIMIT_INCREASE: f64 = 0.05;

/// Identity of a target within one daemon, never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetId(pub u32);

/// State that a target reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// Accepts requests.
    Serving,
    /// Accepts only a small share of requests while it warms up.
    Cold,
    /// Is draining and accepts no new requests.
    Leaving,
}

/// State of one target in a daemon.
#[derive(Debug, Clone)]
pub struct Target {
    /// Identity within this daemon.
    pub id: TargetId,
    /// Service of the target.
    pub service: ServiceId,
    /// Name in the platform's list.
    pub name: Rc<str>,
    /// Address that it serves requests on.
    pub address: SocketAddr,
    /// Start of the target, which tells its incarnations apart, if known.
    pub born: Option<u64>,
    /// Data centre of its host.
    pub data_centre: Rc<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether the platform's list marks it as leaving.
    pub listed_leaving: bool,
    /// Whether its data centre is evacuated; shared with the requests that were assigned to it.
    pub evacuated: Rc<Cell<bool>>,
    /// State that it last reported.
    pub state: TargetState,
    /// Requests of this daemon that are in flight.
    pub in_flight: InFlightRequests,
    /// Maximum number of concurrent requests of this daemon, adapted to shed responses and
    /// successes.
    pub concurrency_limit: f64,
    /// What the target asked of its callers.
    pub throttle: TargetThrottle,
    /// What is known about whether it is cold.
    pub warmup: WarmupState,
    /// Blocks requests after the target aborted one.
    pub breaker: Breaker,
    /// Times of last use of the connections that are expected to be idle, in ascending order.
    pub(super) idle_since: Vec<BootTime>,
    pub(super) ramp_from: Option<BootTime>,
    pub(super) load: f64,
    pub(super) load_at: BootTime,
}

impl Target {
    /// Returns whether the target is leaving, by the list or by its own report.
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.throttle.is_leaving() || self.state == TargetState::Leaving
    }

    /// Returns whether the target must get no new requests and no probes: it leaves for good or its
    /// data centre is evacuated.
    pub fn is_excluded(&self) -> bool {
        self.is_leaving() || self.evacuated.get()
    }

    /// Returns the share of its normal load that the target may receive, from 0 to 1.
    pub fn weight(&self, now: BootTime) -> f64 {
        if self.state == TargetState::Cold {
            return RAMP_START;
        }
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let progress = now.since(from).as_secs_f64() / RAMP_DURATION.as_secs_f64();
        (RAMP_START + (1.0 - RAMP_START) * progress).min(1.0)
    }

    /// Returns whether the target accepts a request of this daemon now, as far as it said.
    pub fn accepts(&self, now: BootTime) -> bool {
        self.throttle.wait(now).is_zero()
    }

    /// Returns whether this daemon has reached its concurrency limit at the target.
    pub fn is_full(&self) -> bool {
        self.in_flight.len() as f64 >= self.concurrency_limit.min(f64::from(self.slots)).floor()
    }

    /// Returns the load of the target with one more request, as a share of its slots.
    pub fn load_with_next(&self, now: BootTime) -> f64 {
        let age = now.since(self.load_at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let reported = self.load * (-age).exp2();
        reported + (self.in_flight.len() as f64 + 1.0) / f64::from(self.slots)
    }

    /// Returns whether an idle connection that was used within `max_idle` is expected.
    pub fn is_connected(&self, max_idle: Duration, now: BootTime) -> bool {
        let last = self.idle_since.last();
        last.is_some_and(|used| now.since(*used) <= max_idle)
    }

    /// Records a load that the target reported, as a share of its slots.
    pub fn set_load(&mut self, load: f64, now: BootTime) {
        self.load = load;
        self.load_at = now;
    }

    /// Records a shed response, which lowers the concurrency limit.
    pub fn record_shed(&mut self, now: BootTime) {
        self.concurrency_limit = (self.concurrency_limit * LIMIT_DECREASE).max(1.0);
        self.set_load(1.0, now);
    }

    /// Records a successful response, which raises the concurrency limit.
    pub fn record_success(&mut self, now: BootTime) {
        self.idle_since.push(now);
        self.concurrency_limit =
            (self.concurrency_limit + LIMIT_INCREASE).min(f64::from(self.slots));
    }
}
