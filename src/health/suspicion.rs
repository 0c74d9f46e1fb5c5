//! What daemons tell each other about targets.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Bad work at one target, as the daemon that saw it passes it on.
#[derive(Debug, Clone, PartialEq)]
pub struct Suspicion {
    /// The service.
    pub service: Rc<str>,
    /// Name of the target.
    pub target: Rc<str>,
    /// Evidence of the bad work, nats.
    pub nats: f64,
    /// Count of targets of the service.
    pub siblings: u32,
    /// Work of this daemon per target of the service, 1/s.
    pub work_per_s: f64,
}

/// Bad work at one target, on its way to a collector.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SuspicionReport {
    /// The service.
    pub service: String,
    /// Name of the target.
    pub target: String,
    /// Evidence of the bad work, nats.
    pub nats: f32,
    /// Count of targets of the service.
    pub siblings: u32,
    /// Work of the daemon per target of the service, 1/s.
    pub work_per_s: f32,
}

/// A message of kind `suspicion`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SuspicionMessage {
    /// Bad work, told to the daemons that sum up the evidence on its service.
    Reports(Vec<SuspicionReport>),
    /// Names of targets that the work of several daemons together speaks against.
    Alarm(Vec<String>),
}
