//! Whether the store answers, shared by the tasks that follow its tables.

use std::{cell::Cell, rc::Rc, time::Duration};

use crate::clock::BootTime;

/// Time between two looks at whether contact was regained.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the last answer of the store up to which a daemon counts as reading it; two calls of
/// the task that calls most often fit in.
const DIRECT_WITHIN: Duration = Duration::from_millis(1800);

/// Counts how often contact with the store was regained.
///
/// The task that calls most often finds out first. The others may wait on connections that went
/// silent, and call again when they see the count change.
#[derive(Clone, Default)]
pub struct StoreConnectivity {
    reconnects: Rc<Cell<u64>>,
    answered: Rc<Cell<Option<BootTime>>>,
}

impl StoreConnectivity {
    /// Takes note that the store answered the task that leads.
    pub fn record_response(&self, now: BootTime) {
        self.answered.set(Some(now));
    }

    /// Tells whether the store answered this daemon of late.
    pub fn is_connected(&self, now: BootTime) -> bool {
        let age = self.answered.get().map(|at| now.since(at));
        age.is_some_and(|age| age <= DIRECT_WITHIN)
    }

    /// Returns how often contact was regained.
    pub fn reconnects(&self) -> u64 {
        self.reconnects.get()
    }

    /// Takes note that contact was regained.
    pub fn record_reconnect(&self) {
        self.reconnects.set(self.reconnects.get() + 1);
    }

    /// Waits until contact is regained once more than `seen` times.
    pub async fn wait_for_reconnect(&self, seen: u64) {
        while self.reconnects.get() == seen {
            monoio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}
