//! Messages by which daemons get freshness proofs and table changes from readers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::store::StoreVersion;

use super::TableDelta;

/// Asks a reader for a freshness proof and for table changes.
///
/// The fields hold the versions of the sender's copies, `None` for a copy that needs all rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofRequest {
    /// Version of the configuration.
    pub configuration: Option<StoreVersion>,
    /// Version of the targets.
    pub targets: Option<StoreVersion>,
    /// Version of the fleet's members.
    pub members: Option<StoreVersion>,
}

/// The tables whose changes are too large for a [`ProofResponse`] and must be fetched.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingChanges {
    /// The configuration.
    pub configuration: bool,
    /// The targets.
    pub targets: bool,
    /// The fleet's members.
    pub members: bool,
}

impl PendingChanges {
    /// Returns whether there is nothing to fetch.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A reader's freshness proof and the changes since the versions in the request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofResponse {
    /// Age of the proof that the configuration is up to date, µs; `None` before the first proof.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub age: Option<Duration>,
    /// Whether the responding daemon reads the store itself; one that does not may relay changes
    /// late.
    pub direct: bool,
    /// Changes of the configuration.
    pub configuration: Option<TableDelta>,
    /// Changes of the targets.
    pub targets: Option<TableDelta>,
    /// Changes of the fleet's members.
    pub members: Option<TableDelta>,
    /// Changes to be fetched; left out if there are none, as daemons of earlier builds do.
    #[serde(default, skip_serializing_if = "PendingChanges::is_empty")]
    pub pending: PendingChanges,
}
