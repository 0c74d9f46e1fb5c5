//! What a site weighs most when targets are judged.

use std::time::Duration;

use serde::Deserialize;

/// What a site weighs most when targets are judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Profile {
    /// False ejections and wrongly refused requests weigh most.
    #[default]
    FewFalseEjections,
    /// Detection time and the worst-served workspace weigh most.
    FastDetection,
}

/// The bounds of the sequential test.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SequentialOptions {
    /// Evidence of this daemon's own work that ejects, nats.
    pub local_threshold: f64,
    /// Evidence of the whole fleet that puts a target on trial, nats.
    pub fleet_threshold: f64,
    /// Time for which a first ejection lasts.
    pub base_ejection_time: Duration,
    /// Longest time for which an ejection lasts.
    pub max_ejection_time: Duration,
    /// Good work in a row that ends a trial.
    pub trial_length: u32,
}

impl Profile {
    /// Returns the bounds of the sequential test.
    pub fn options(self) -> SequentialOptions {
        match self {
            Self::FewFalseEjections => SequentialOptions {
                local_threshold: 24.0,
                fleet_threshold: 24.0,
                base_ejection_time: Duration::from_secs(2),
                max_ejection_time: Duration::from_secs(60),
                trial_length: 8,
            },
            Self::FastDetection => SequentialOptions {
                local_threshold: 20.0,
                fleet_threshold: 20.0,
                base_ejection_time: Duration::from_secs(2),
                max_ejection_time: Duration::from_secs(120),
                trial_length: 8,
            },
        }
    }
}
