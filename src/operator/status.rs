//! Bodies of the operator port.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::{catalog::KeyHash, membership::Phase, sync::EditAnswer};

/// The status page.
#[serde_as]
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Name of this host.
    pub host: String,
    /// Data centre of this host.
    pub data_centre: String,
    /// Version of the program.
    pub version: &'static str,
    /// Time since the start, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "uptime_ms")]
    pub uptime: Duration,
    /// Whether it serves.
    pub ready: bool,
    /// Whether a shutdown has begun.
    pub leaving: bool,
    /// Revision in force.
    pub revision: u64,
    /// Daemons whose confirmation counts.
    pub members: Vec<MemberStatus>,
    /// Requests in flight.
    pub in_flight: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Bytes of request bodies that are buffered.
    pub buffered_bytes: usize,
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
pub struct GiveKeyResponse {
    /// The key; shown only once, and none unless the edit was accepted.
    pub key: Option<String>,
    /// Hash of the key, by which it is withdrawn.
    pub hash: KeyHash,
    /// What became of the edit.
    pub edit: EditAnswer,
}
