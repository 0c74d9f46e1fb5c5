//! Edits and their identities.

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use super::Change;

/// Random identity of an edit, which shows whether a write with a lost response took effect.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EditId(#[serde_as(as = "Hex")] pub [u8; 16]);

/// The changes that lead from one revision to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Revision that the edit leads to, one above the one that it is based on.
    pub revision: u64,
    /// Identity of the edit.
    pub id: EditId,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

impl Edit {
    /// Returns whether the edit changes lists or keys.
    pub fn changes_lists(&self) -> bool {
        self.changes.iter().any(|c| !c.is_membership_change())
    }
}
