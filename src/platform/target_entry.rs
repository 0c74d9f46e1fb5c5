//! The entry by which a target registers itself in the store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::{proxy::is_valid_header_value, store::ListedHost};

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
    /// How much longer the target is slow after its start, s.
    #[serde(default)]
    warmup_left_s: f64,
}

/// Decodes the entry of the target `id`.
///
/// # Errors
///
/// Returns what is wrong with an entry that names no target to use.
pub fn decode_target(id: &str, body: &[u8]) -> Result<ListedHost, String> {
    if !is_valid_header_value(id) {
        return Err("id: expected text that a header can hold".to_owned());
    }
    let entry: Entry = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let leaving = match entry.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(format!("state {other}: expected ready or draining")),
    };
    if entry.slots == 0 {
        return Err("slots: expected at least 1".to_owned());
    }
    Ok(ListedHost {
        name: id.to_owned(),
        data_centre: entry.zone,
        address: entry.addr,
        service: Some(entry.backend),
        slots: entry.slots,
        leaving,
        cold: entry.warmup_left_s > 0.0,
    })
}
