//! One target as a daemon knows it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use crate::clock::BootTime;

use super::{Breaker, InFlightRequests, ServiceId};

/// Time in which a cold target comes to its full share of work.
pub const RAMP_DURATION: Duration = Duration::from_secs(5);
/// Share of work at the begin of the ramp, and while a target says that it is cold.
const RAMP_START: f64 = 0.1;
/// Half-life of a reported load.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(300);
/// Factor of the bound of own requests in flight after a shed answer.
const LIMIT_DECREASE: f64 = 0.7;
/// Growth of that bound with each success.
const LIMIT_INCREASE: f64 = 0.05;

/// Identity of a target within one daemon, never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetId(pub u32);

/// What the target itself says about taking new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It takes work.
    Serving,
    /// It takes work slowly at first.
    Cold,
    /// It is leaving and takes no new work.
    Leaving,
}

/// One target as a daemon knows it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Identity within this daemon.
    pub id: TargetId,
    /// Its service.
    pub service: ServiceId,
    /// Name in the platform's list.
    pub name: Rc<str>,
    /// Address under which it serves.
    pub address: SocketAddr,
    /// Data centre of its host.
    pub data_centre: Rc<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether the platform's list says that it is leaving.
    pub listed_leaving: bool,
    /// What it said of itself last.
    pub state: TargetState,
    /// Requests of this daemon that it has now.
    pub in_flight: InFlightRequests,
    /// Most requests of this daemon at a time, learned from shed answers.
    pub concurrency_limit: f64,
    /// Holds work back while the target breaks it off.
    pub breaker: Breaker,
    /// When the connections that should be idle now were used last, in that order.
    pub(super) idle_since: Vec<BootTime>,
    pub(super) ramp_from: Option<BootTime>,
    pub(super) load: f64,
    pub(super) load_at: BootTime,
}

impl Target {
    /// Tells whether the target is leaving by the list or by its own word.
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.state == TargetState::Leaving
    }

    /// Returns the share of the usual work that it takes, from 0 to 1.
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

    /// Tells whether this daemon has as many requests there as it may.
    pub fn is_full(&self) -> bool {
        self.in_flight.len() as f64 >= self.concurrency_limit.min(f64::from(self.slots)).floor()
    }

    /// Returns how busy the target would be with one more request, as a share of its slots.
    pub fn load_with_next(&self, now: BootTime) -> f64 {
        let age = now.since(self.load_at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let reported = self.load * (-age).exp2();
        reported + (self.in_flight.len() as f64 + 1.0) / f64::from(self.slots)
    }

    /// Tells whether a connection should be there that was used within `longest`.
    pub fn is_connected(&self, longest: Duration, now: BootTime) -> bool {
        let last = self.idle_since.last();
        last.is_some_and(|used| now.since(*used) <= longest)
    }

    /// Takes note of a load that the target reported, as a share of its slots.
    pub fn set_load(&mut self, load: f64, now: BootTime) {
        self.load = load;
        self.load_at = now;
    }

    /// Takes note of a shed answer.
    pub fn record_shed(&mut self, now: BootTime) {
        self.concurrency_limit = (self.concurrency_limit * LIMIT_DECREASE).max(1.0);
        self.set_load(1.0, now);
    }

    /// Takes note of a good answer.
    pub fn record_success(&mut self, now: BootTime) {
        self.idle_since.push(now);
        self.concurrency_limit =
            (self.concurrency_limit + LIMIT_INCREASE).min(f64::from(self.slots));
    }
}
