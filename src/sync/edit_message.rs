//! Edit requests of operators and the responses to them.

use serde::{Deserialize, Serialize};

use crate::catalog::Change;

/// An operator's request to change the lists or keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EditRequest {
    /// Revision whose lists and keys the edit is based on; `None` bases it on the current one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from_revision: Option<u64>,
    /// The changes to make.
    pub changes: Vec<Change>,
}

/// The response to an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum EditAnswer {
    /// The edit was committed, and a majority of the members hold it or are gone.
    Accepted {
        /// Revision of the edit.
        revision: u64,
    },
    /// The edit was committed, but not acknowledged by a majority of the members in time; it takes
    /// effect on each daemon that receives it.
    Pending {
        /// Revision of the edit.
        revision: u64,
        /// Hosts that neither acknowledged it nor are gone.
        missing: Vec<String>,
    },
    /// The edit was based on lists that are no longer current, or other edits were committed first at
    /// each attempt; nothing changed.
    Stale {
        /// The current revision.
        current: u64,
    },
    /// A value is invalid; nothing changed.
    Invalid {
        /// What was expected.
        expected: String,
    },
    /// The table service cannot be reached or refused the edit; nothing changed.
    Unavailable,
    /// The outcome is unknown: the edit may or may not have been committed.
    Unknown,
}
