//! The border between the balancer and whoever judges targets.

use std::time::Duration;

use crate::clock::BootTime;

use super::TargetId;

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
}

/// One piece of real work at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// How it ended.
    pub result: WorkResult,
    /// Time from the dispatch to the head of the answer, or to the failure.
    pub latency: Duration,
}

/// Judges targets by their work.
pub trait Detector {
    /// Takes note of one piece of work.
    fn observe(&mut self, target: TargetId, obs: &Observation, now: BootTime);

    /// Returns how suspect a target is: 1 and above should be ejected, the higher the worse.
    fn suspicion(&self, target: TargetId, now: BootTime) -> f64;

    /// Forgets a target that left.
    fn forget(&mut self, target: TargetId);
}
