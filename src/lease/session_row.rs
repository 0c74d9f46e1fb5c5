//! The row that proves that a session is alive.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use super::LeaseTerms;

/// The row that proves that a session is alive; its version changes with each renewal.
///
/// An absent row means that the session gave up all that it owned.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionRow {
    /// Count of renewals.
    pub counter: u64,
    /// Whether another host saw the short term end; a fenced session never renews.
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

    /// Returns the row after another host saw the short term end.
    pub fn fence(&self) -> Self {
        Self {
            fenced: true,
            ..self.clone()
        }
    }
}
