//! The row that holds the lease of one slice.

use serde::{Deserialize, Serialize};

use crate::membership::Incarnation;

/// Table of the leases, whose keys are data centres.
pub const SLICES_TABLE: &str = "slices";

/// Who holds the lease of one slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Name of the host.
    pub host: String,
    /// The run of the daemon there.
    pub incarnation: Incarnation,
}
