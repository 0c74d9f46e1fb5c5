//! Whether a daemon reads the store itself.

use std::{cell::Cell, rc::Rc, time::Duration};

use monoio::time::sleep;

/// Time between two looks at whether the store must be read.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a daemon reads the store itself, or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// Another daemon tells what the store holds.
    Relieved,
    /// Others ask this daemon.
    ForOthers,
    /// No other daemon has told enough of late.
    Alone,
}

/// Whether this daemon reads the store, shared by the tasks that do.
#[derive(Clone)]
pub struct SharedReaderRole {
    role: Rc<Cell<ReaderRole>>,
}

impl Default for SharedReaderRole {
    /// Nothing is read before the first decision.
    fn default() -> Self {
        Self {
            role: Rc::new(Cell::new(ReaderRole::Relieved)),
        }
    }
}

impl SharedReaderRole {
    /// Returns why the store is read, or not.
    pub fn get(&self) -> ReaderRole {
        self.role.get()
    }

    /// Takes note of a decision, and logs a change.
    pub fn set(&self, role: ReaderRole) {
        if self.role.replace(role) != role {
            log::info!(duty:? = role; "reading of the store");
        }
    }

    /// Waits until this daemon must read the store; tells whether it had to wait.
    pub async fn wait_until_needed(&self) -> bool {
        let mut waited = false;
        while self.get() == ReaderRole::Relieved {
            waited = true;
            sleep(LOOK_INTERVAL).await;
        }
        waited
    }
}
