//! Changes of a followed table that daemons send to each other.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::store::{StoreVersion, StoredRow};

/// One row of a table.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Its key.
    pub key: String,
    /// Its value; `None` if the row was removed.
    #[serde_as(as = "Option<serde_with::Bytes>")]
    pub value: Option<Vec<u8>>,
    /// Its version.
    pub version: u64,
}

impl RowChange {
    /// Returns the size of the key and the value in bytes.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

impl From<&StoredRow> for RowChange {
    fn from(row: &StoredRow) -> Self {
        Self {
            key: row.key.clone(),
            value: row.value.as_ref().map(|value| value.to_vec()),
            version: row.version,
        }
    }
}

impl From<RowChange> for StoredRow {
    fn from(row: RowChange) -> Self {
        Self {
            key: row.key,
            value: row.value.map(Bytes::from),
            version: row.version,
        }
    }
}

/// The line between rows of the older copy from which the store came back, and later ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraStart {
    /// Version of the first full read in the era.
    pub version: u64,
    /// Keys of rows of the older copy that are known to be removed.
    pub withheld: Vec<String>,
}

/// The rows of a table that changed after the version held by the receiver, in the order of their
/// versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// Whether these are all rows of the table rather than only the changed ones.
    pub whole: bool,
    /// Version of the store up to which the rows are complete; those of the rows are of its era.
    pub version: StoreVersion,
    /// Whether tombstones of rows that were inserted and removed after the version held by the
    /// receiver may be missing.
    pub has_gap: bool,
    /// Whether more rows changed after `version`.
    pub more: bool,
    /// The rows.
    pub rows: Vec<RowChange>,
    /// What is known of the rows in the older copy from which the store came back; left out unless these
    /// are all rows of a stated era, as daemons of earlier builds do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era_start: Option<EraStart>,
}

impl TableDelta {
    /// Returns the size of the rows in bytes.
    pub fn size(&self) -> usize {
        self.rows.iter().map(RowChange::size).sum()
    }
}
