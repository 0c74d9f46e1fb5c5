//! Interface between the balancer and the detectors that assess targets.

use std::time::Duration;

use crate::clock::BootTime;

use super::{ServiceId, TargetId};

/// Result of a request at a target; probes don't count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkResult {
    /// The target answered.
    Success,
    /// The target answered with a server error.
    ServerError,
    /// The target shed the request.
    Shed,
    /// The connection could not be opened or was closed, or the response was malformed.
    Lost,
    /// The target did not respond before the timeout.
    Timeout,
    /// The request is still in flight long after the siblings would have answered.
    Overdue,
    /// The request has been in flight for so long that no response is expected any more.
    Silent,
}

/// Observed result of one request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// How the request ended.
    pub result: WorkResult,
    /// Time from dispatch to the response head, or to the failure.
    pub latency: Duration,
}

/// What an observation changed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Assessment {
    /// Whether the target was ejected or readmitted.
    pub changed: bool,
    /// Evidence of this request against the target, in nats; zero for good requests.
    pub nats_against: f64,
}

/// Health of a target as seen by the detector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetHealth {
    /// Suspicion; a target with 1 or more should be ejected, higher is worse.
    pub suspicion: f64,
    /// Whether an ejected target should receive a small share of the idempotent requests.
    pub on_trial: bool,
}

/// Assesses targets by the results of their requests and probes.
pub trait Detector {
    /// Registers a target of a service; must precede all other calls for the target.
    fn add_target(&mut self, target: TargetId, service: ServiceId);

    /// Records the result of one request.
    fn observe(&mut self, target: TargetId, obs: &Observation, now: BootTime) -> Assessment;

    /// Returns the health of a target.
    fn health(&self, target: TargetId, now: BootTime) -> TargetHealth;

    /// Returns the age at which a request at a target is overdue; `None` if it is not known.
    fn overdue_after(&self, target: TargetId, now: BootTime) -> Option<Duration>;

    /// Returns the evidence against a target from the requests of this daemon, in nats.
    fn local_evidence(&self, target: TargetId, now: BootTime) -> f64;

    /// Applies an alarm that the combined evidence of several daemons raised against a target;
    /// returns whether the health of the target changed.
    fn apply_fleet_alarm(&mut self, target: TargetId, now: BootTime) -> bool;

    /// Returns whether a target should be probed now.
    fn needs_probe(&self, target: TargetId, now: BootTime) -> bool;

    /// Records the result of a probe; returns whether the health of the target changed.
    fn record_probe(&mut self, target: TargetId, healthy: bool, now: BootTime) -> bool;

    /// Removes a target that is no longer listed.
    fn remove_target(&mut self, target: TargetId, now: BootTime);
}
