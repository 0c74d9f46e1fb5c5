//! The last edits that a daemon applied.

use std::collections::VecDeque;

use crate::catalog::Edit;

/// Maximum number of edits in the log.
const MAX_EDITS: usize = 1000;
/// Most changes of all edits in the log together.
const MAX_CHANGES: usize = 20_000;

/// The last edits that a daemon applied, kept for peers that lag behind.
#[derive(Default)]
pub(super) struct EditLog {
    edits: VecDeque<Edit>,
    changes: usize,
}

impl EditLog {
    /// Appends an edit, and drops the oldest ones beyond the size limits.
    pub(super) fn push(&mut self, edit: Edit) {
        self.changes += edit.changes.len();
        self.edits.push_back(edit);
        while self.edits.len() > MAX_EDITS || (self.changes > MAX_CHANGES && self.edits.len() > 1) {
            let oldest = self.edits.pop_front();
            self.changes -= oldest.map_or(0, |e| e.changes.len());
        }
    }

    /// Returns up to `limit` edits after `revision`; `None` if the first of them is not in the log.
    pub(super) fn edits_after(&self, revision: u64, limit: usize) -> Option<Vec<Edit>> {
        let first = self.edits.front()?.revision;
        let skip = usize::try_from((revision + 1).checked_sub(first)?).ok()?;
        Some(self.edits.iter().skip(skip).take(limit).cloned().collect())
    }
}
