//! The border between the balancer and whoever judges targets.

use std::time::Duration;

use crate::clock::BootTime;

use super::{ServiceId, TargetId};

/// How a piece of real work ended at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkResult {
    /// It answered.
    Success,
    /// It answered with a server error.
    ServerError,
    /// It shed the work.
    Shed,
    /// It could not be connected, closed the connection, or answered nonsense.
    Lost,
    /// It gave no answer in time.
    Timeout,
    /// It still has the work long after its siblings would have answered.
    Overdue,
    /// It still has the work so long after that no answer is to be expected.
    Silent,
}

/// One piece of real work at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// How it ended.
    pub result: WorkResult,
    /// Time from the dispatch to the head of the answer, or to the failure.
    pub latency: Duration,
}

/// What one piece of work changed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Assessment {
    /// Whether the target was ejected or returned.
    pub changed: bool,
    /// Evidence of this piece against the target, nats; zero unless it was bad.
    pub nats_against: f64,
}

/// How a target stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetHealth {
    /// Suspicion; 1 and above should be ejected, the higher the worse.
    pub suspicion: f64,
    /// Whether an ejected target should get a small share of idempotent work on trial.
    pub on_trial: bool,
}

/// Judges targets by their work, in comparison with the other targets of their service.
pub trait Detector {
    /// Takes note of a target of a service, before anything else is told of it.
    fn add_target(&mut self, target: TargetId, service: ServiceId);

    /// Takes note of one piece of work.
    fn observe(&mut self, target: TargetId, obs: &Observation, now: BootTime) -> Assessment;

    /// Returns how a target stands.
    fn health(&self, target: TargetId, now: BootTime) -> TargetHealth;

    /// Returns the age at which work at a target is overdue; none when that is not known.
    fn overdue_after(&self, target: TargetId, now: BootTime) -> Option<Duration>;

    /// Returns the evidence of this daemon's own work against a target, in nats.
    fn local_evidence(&self, target: TargetId, now: BootTime) -> f64;

    /// Takes note that the evidence of several daemons together speaks against a target; returns
    /// whether a verdict changed.
    fn apply_fleet_alarm(&mut self, target: TargetId, now: BootTime) -> bool;

    /// Tells whether a target should be probed now.
    fn needs_probe(&self, target: TargetId, now: BootTime) -> bool;

    /// Takes note of a probe; returns whether a verdict changed.
    fn record_probe(&mut self, target: TargetId, healthy: bool, now: BootTime) -> bool;

    /// Forgets a target that left.
    fn remove_target(&mut self, target: TargetId, now: BootTime);
}
