//! Suspicions against targets that daemons exchange.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Evidence of bad requests at one target, as observed by this daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Suspicion {
    /// Name of the service.
    pub service: Rc<str>,
    /// Name of the target.
    pub target: Rc<str>,
    /// Evidence of the bad requests, in nats.
    pub nats: f64,
    /// Number of targets of the service.
    pub siblings: u32,
    /// Request rate of this daemon per target of the service, in 1/s.
    pub work_per_s: f64,
}

/// Evidence of bad requests at one target, as sent to a collector.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SuspicionReport {
    /// Name of the service.
    pub service: String,
    /// Name of the target.
    pub target: String,
    /// Evidence of the bad requests, in nats.
    pub nats: f32,
    /// Number of targets of the service.
    pub siblings: u32,
    /// Request rate of the daemon per target of the service, in 1/s.
    pub work_per_s: f32,
}

/// A message of kind `suspicion`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SuspicionMessage {
    /// Reports of bad requests, sent to the collectors of their services.
    Reports(Vec<SuspicionReport>),
    /// Names of targets whose combined evidence from several daemons exceeds the threshold.
    Alarm(Vec<String>),
}
