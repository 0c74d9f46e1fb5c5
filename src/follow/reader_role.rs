//! The role that decides whether a daemon reads the store itself.

use std::{cell::Cell, rc::Rc, time::Duration};

use monoio::time::sleep;

/// Time between two checks of the role while this daemon does not read the store.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a daemon reads the store itself, and for whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// Does not read the store; a reader supplies its contents.
    Relieved,
    /// Reads the store on behalf of the other daemons of its data centre.
    ForOthers,
    /// Reads the store for itself only, as no reader supplies fresh data.
    Alone,
}

/// This daemon's role, shared by the tasks that read the store.
#[derive(Clone)]
pub struct SharedReaderRole {
    role: Rc<Cell<ReaderRole>>,
}

impl Default for SharedReaderRole {
    /// Returns [`ReaderRole::Relieved`], so that nothing is read before the first decision.
    fn default() -> Self {
        Self {
            role: Rc::new(Cell::new(ReaderRole::Relieved)),
        }
    }
}

impl SharedReaderRole {
    /// Returns the current role.
    pub fn get(&self) -> ReaderRole {
        self.role.get()
    }

    /// Sets the role, and logs a change.
    pub fn set(&self, role: ReaderRole) {
        if self.role.replace(role) != role {
            log::info!(duty:? = role; "reader role changed");
        }
    }

    /// Waits until this daemon must read the store; returns whether it had to wait.
    pub async fn wait_until_needed(&self) -> bool {
        let mut waited = false;
        while self.get() == ReaderRole::Relieved {
            waited = true;
            sleep(POLL_INTERVAL).await;
        }
        waited
    }
}
