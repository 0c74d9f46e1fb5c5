//! Bodies of the operator port.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{catalog::KeyHash, membership::Phase, sync::EditAnswer};

/// The status page.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Name of this host.
    pub host: String,
    /// Data centre of this host.
    pub data_centre: String,
    /// Whether it serves.
    pub ready: bool,
    /// Revision in force.
    pub revision: u64,
    /// Daemons whose confirmation counts.
    pub members: Vec<MemberStatus>,
    /// Requests in flight.
    pub in_flight: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// All counters.
    pub counters: BTreeMap<String, u64>,
    /// All targets.
    pub targets: serde_json::Value,
}

/// One daemon whose confirmation counts.
#[derive(Debug, Clone, Serialize)]
pub struct MemberStatus {
    /// Name of its host.
    pub host: String,
    /// Stage of its entry or exit.
    pub phase: Phase,
}

/// The answer to a request for a new key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyGiven {
    /// The key; shown only once, and none unless the edit was accepted.
    pub key: Option<String>,
    /// Hash of the key, by which it is withdrawn.
    pub hash: KeyHash,
    /// What became of the edit.
    pub edit: EditAnswer,
}
