//! Whether the store answers, shared by the tasks that follow its tables.

use std::{cell::Cell, rc::Rc, time::Duration};

/// Time between two looks at whether contact was regained.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Counts how often contact with the store was regained.
///
/// The task that calls most often finds out first. The others may wait on connections that went
/// silent, and call again when they see the count change.
#[derive(Clone, Default)]
pub struct StoreContact {
    regained: Rc<Cell<u64>>,
    targets_version: Rc<Cell<u64>>,
}

impl StoreContact {
    /// Returns the newest version of the rows of targets that were read.
    pub fn targets_version(&self) -> u64 {
        self.targets_version.get()
    }

    /// Takes note of a version of the rows of targets.
    pub fn note_targets(&self, version: u64) {
        let newest = self.targets_version.get().max(version);
        self.targets_version.set(newest);
    }

    /// Returns how often contact was regained.
    pub fn regained(&self) -> u64 {
        self.regained.get()
    }

    /// Takes note that contact was regained.
    pub fn note_regained(&self) {
        self.regained.set(self.regained.get() + 1);
    }

    /// Waits until contact is regained once more than `seen` times.
    pub async fn regained_since(&self, seen: u64) {
        while self.regained.get() == seen {
            monoio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}
