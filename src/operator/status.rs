//! Response bodies of the operator port.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::{catalog::KeyHash, membership::Phase, sync::EditAnswer};

/// Status of a daemon.
#[serde_as]
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Name of this host.
    pub host: String,
    /// Data centre of this host.
    pub data_centre: String,
    /// Program version.
    pub version: &'static str,
    /// Time since the daemon started, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "uptime_ms")]
    pub uptime: Duration,
    /// Whether the daemon is ready to serve callers.
    pub ready: bool,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
    /// Revision of the lists in effect.
    pub revision: u64,
    /// Daemons whose confirmations of edits are counted.
    pub members: Vec<MemberStatus>,
    /// Requests in flight.
    pub in_flight: usize,
    /// Open caller connections.
    pub connections: usize,
    /// Total size of buffered request bodies in bytes.
    pub buffered_bytes: usize,
    /// All counters by name.
    pub counters: BTreeMap<String, u64>,
    /// Status of all targets.
    pub targets: serde_json::Value,
}

/// A daemon whose confirmations of edits are counted.
#[derive(Debug, Clone, Serialize)]
pub struct MemberStatus {
    /// Name of the host.
    pub host: String,
    /// Phase of joining or leaving the fleet.
    pub phase: Phase,
}

/// Response to a request for a new key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GiveKeyResponse {
    /// The key, which is shown only once; `None` if the edit has certainly not taken effect.
    pub key: Option<String>,
    /// Hash of the key, which identifies it for withdrawal.
    pub hash: KeyHash,
    /// Outcome of the edit.
    pub edit: EditAnswer,
}
