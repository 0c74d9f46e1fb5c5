//! Accepted edits.

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use super::Change;

/// Random identity of an edit, by which a lost answer is resolved.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EditId(#[serde_as(as = "Hex")] pub [u8; 16]);

/// One accepted edit: the changes that lead to a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Revision that the edit leads to, one above the revision that it was made from.
    pub revision: u64,
    /// Identity of the edit.
    pub id: EditId,
    /// What changes.
    pub changes: Vec<Change>,
}

impl Edit {
    /// Tells whether the edit changes lists or keys.
    pub fn changes_lists(&self) -> bool {
        self.changes.iter().any(|c| !c.is_membership_change())
    }
}
