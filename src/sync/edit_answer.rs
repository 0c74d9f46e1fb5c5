//! Requests for edits and the answers to them.

use serde::{Deserialize, Serialize};

use crate::catalog::Change;

/// An operator's request to change the lists or keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EditRequest {
    /// Revision that the edit was made from; none takes whichever is current.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from_revision: Option<u64>,
    /// What changes.
    pub changes: Vec<Change>,
}

/// The answer to an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum EditAnswer {
    /// The edit was committed, and more than half of the members hold it or are gone.
    Accepted {
        /// Revision that it led to.
        revision: u64,
    },
    /// The edit was committed, but not confirmed by more than half of the members in time; it takes
    /// effect wherever it arrives.
    Pending {
        /// Revision that it led to.
        revision: u64,
        /// Hosts that neither confirmed it nor are gone.
        missing: Vec<String>,
    },
    /// The edit was made from a revision that is no longer current; nothing changed.
    Stale {
        /// The current revision.
        current: u64,
    },
    /// A value is wrong; nothing changed.
    Invalid {
        /// What was expected.
        expected: String,
    },
    /// The table service cannot be reached; nothing changed.
    Unavailable,
    /// It is not known whether the edit was committed.
    Unknown,
}
