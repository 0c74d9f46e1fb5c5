//! The row that stores the lease of one slice.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{membership::Incarnation, store::StoredRow};

/// Table of the slice leases, keyed by data centre.
pub const SLICES_TABLE: &str = "slices";

/// The holder of the lease of one slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Name of the host.
    pub host: String,
    /// Incarnation of the daemon on that host.
    pub incarnation: Incarnation,
    /// Address of that daemon for other daemons; earlier builds do not state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
}

impl LeaseHolder {
    /// Returns whether this is an earlier incarnation of the daemon `own`, or that daemon itself. An
    /// earlier one has ended if the daemon now serves at its address. A host that replaces another
    /// one may have its name while the other one is still running.
    pub fn is_same_daemon(&self, own: &Self) -> bool {
        let is_same_place = self.host == own.host && self.address == own.address;
        self.incarnation == own.incarnation || (is_same_place && own.address.is_some())
    }

    /// Returns the holder stored in a lease row; `None` if the row has no value or it cannot be
    /// parsed.
    pub fn from_row(row: &StoredRow) -> Option<Self> {
        let value = row.value.as_ref()?;
        match serde_json::from_slice(value) {
            Ok(holder) => Some(holder),
            Err(e) => {
                let reason = e.to_string();
                log::warn!(row = row.version, reason = reason.as_str();
                    "cannot parse holder of slice lease");
                None
            }
        }
    }
}
