//! What daemons ask each other of the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use super::TableDelta;

/// Asks a reader for a proof and for changes; the versions up to which the asking daemon knows
/// the tables, none for those that it does not know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofRequest {
    /// Of the configuration.
    pub configuration: Option<u64>,
    /// Of the targets.
    pub targets: Option<u64>,
    /// Of the daemons of the fleet.
    pub members: Option<u64>,
}

/// The proof of a reader, and what changed.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofResponse {
    /// Age of the proof that the configuration is fresh, µs; none before the first one.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub age: Option<Duration>,
    /// Whether the answering daemon reads the store itself; another one may pass changes on late.
    pub direct: bool,
    /// What changed of the configuration.
    pub configuration: Option<TableDelta>,
    /// What changed of the targets.
    pub targets: Option<TableDelta>,
    /// What changed of the daemons of the fleet.
    pub members: Option<TableDelta>,
}
