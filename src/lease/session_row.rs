//! The heartbeat row of a session.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use super::LeaseTerms;

/// The heartbeat row of a session; its version changes with each renewal.
///
/// An absent row means that the session has released everything that it owned.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionRow {
    /// Number of renewals so far.
    pub counter: u64,
    /// Whether another host fenced the session after its short term; a fenced session never renews.
    pub fenced: bool,
    /// Short term of the last renewal, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "short_ms")]
    pub short: Duration,
    /// Long term of the last renewal, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "long_ms")]
    pub long: Duration,
    /// Data centre of the host.
    pub data_centre: String,
}

impl SessionRow {
    /// Returns the terms of the last renewal.
    pub fn terms(&self) -> LeaseTerms {
        LeaseTerms {
            short: self.short,
            long: self.long,
        }
    }

    /// Returns the row with the session fenced.
    pub fn fence(&self) -> Self {
        Self {
            fenced: true,
            ..self.clone()
        }
    }
}
