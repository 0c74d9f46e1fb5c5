//! The row that stores the lease of one slice.

use serde::{Deserialize, Serialize};

use crate::membership::Incarnation;

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
