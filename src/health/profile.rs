//! Settings profiles of the sequential detector.

use std::time::Duration;

use serde::Deserialize;

/// Trade-off of a site between false ejections and detection time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Profile {
    /// Gives priority to few false ejections and few wrongly refused requests.
    #[default]
    FewFalseEjections,
    /// Gives priority to fast detection and to the worst-served workspace.
    FastDetection,
}

/// Parameters of the sequential detector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SequentialOptions {
    /// Evidence from the requests of this daemon that ejects a target, in nats.
    pub local_threshold: f64,
    /// Evidence from the whole fleet that puts a target on trial, in nats.
    pub fleet_threshold: f64,
    /// Duration of a first ejection.
    pub base_ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection_time: Duration,
    /// Consecutive good requests that end a trial.
    pub trial_length: u32,
}

impl Profile {
    /// Returns the parameters of the sequential detector.
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
