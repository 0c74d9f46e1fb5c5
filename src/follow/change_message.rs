//! Messages by which daemons fetch table changes of any size.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};

use crate::store::StoreVersion;

/// One row at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowVersion {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: StoreVersion,
}

/// What the sender of a request holds of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldCopy {
    /// Version of the copy; `None` if it needs all rows.
    pub version: Option<StoreVersion>,
    /// A large row of the copy, against which the response may be compressed.
    pub base: Option<RowVersion>,
}

/// Asks for all changes since the copies that the sender holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Copy of the configuration.
    pub configuration: HeldCopy,
    /// Copy of the targets.
    pub targets: HeldCopy,
    /// Copy of the fleet's members.
    pub members: HeldCopy,
}

/// A compressed [`TableDelta`](super::TableDelta).
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedDelta {
    /// Whether decompression needs the base row of the request.
    pub uses_base: bool,
    /// The compressed delta.
    #[serde_as(as = "Bytes")]
    pub compressed: Vec<u8>,
}

/// The changes since the copies in the request; `None` for a table of which the responding daemon
/// holds nothing newer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesResponse {
    /// Changes of the configuration.
    pub configuration: Option<EncodedDelta>,
    /// Changes of the targets.
    pub targets: Option<EncodedDelta>,
    /// Changes of the fleet's members.
    pub members: Option<EncodedDelta>,
}
