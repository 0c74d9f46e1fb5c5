//! The row that stores the lease of one slice.

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
}

impl LeaseHolder {
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
