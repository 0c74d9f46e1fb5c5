//! The entry by which a target registers itself in the store.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use serde_json::Value;

use crate::{proxy::is_valid_header_value, store::ListedHost};

/// Most slots of a target; an entry with more is one of another writer.
const MAX_SLOTS: u32 = 100_000;

/// An entry as targets write it. An entry that lacks one of these fields, or has one of another type,
/// is that of another writer, and names no target.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    /// Name of the service, not of the target.
    backend: String,
    addr: SocketAddr,
    zone: String,
    slots: u32,
    /// `ready` or `draining`.
    state: String,
    /// Remaining time of the slow phase after the target's start, s.
    warmup_left_s: f64,
    /// Version of the target's software; only its type is checked.
    #[serde(rename = "version")]
    _version: String,
    /// Counter of the entry's writes; only its type is checked.
    #[serde(rename = "seq")]
    _seq: u64,
    /// Start of the target, Unix time in ms; not stated on all platforms.
    #[serde(default)]
    born: Option<u64>,
}

/// The field of an entry that states how long its target is cold.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WarmupField {
    #[serde(default)]
    warmup_left_s: f64,
}

/// Returns the time for which the target of an entry is cold, at the time of its writing; zero if it
/// is not, or the entry cannot be used.
pub fn decode_entry_warmup(body: &[u8]) -> Duration {
    let field = serde_json::from_slice::<WarmupField>(body);
    let left_s = field.map_or(0.0, |field| field.warmup_left_s.max(0.0));
    Duration::try_from_secs_f64(left_s).unwrap_or(Duration::MAX)
}

/// Decodes the entry of the target `id`.
///
/// # Errors
///
/// Returns what is invalid in an entry that cannot be used.
pub fn decode_target(id: &str, body: &[u8]) -> Result<ListedHost, String> {
    if !is_valid_header_value(id) {
        return Err("id: expected text that a header can hold".to_owned());
    }
    // A value of its own bounds the depth and the numbers of the fields that are not read, too.
    let value: Value = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let entry = Entry::deserialize(value).map_err(|e| e.to_string())?;
    let leaving = match entry.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(format!("state {other}: expected ready or draining")),
    };
    if entry.slots == 0 || entry.slots > MAX_SLOTS {
        return Err(format!("slots: expected 1 to {MAX_SLOTS}"));
    }
    if entry.addr.port() == 0 {
        return Err("addr: expected a port from 1 to 65535".to_owned());
    }
    Ok(ListedHost {
        name: id.to_owned(),
        data_centre: entry.zone,
        address: entry.addr,
        service: Some(entry.backend),
        slots: entry.slots,
        leaving,
        cold: entry.warmup_left_s > 0.0,
        born: entry.born,
    })
}
