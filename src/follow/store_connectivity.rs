//! Connectivity to the store, shared by the tasks that follow its tables.

use std::{cell::Cell, rc::Rc, time::Duration};

use crate::clock::BootTime;

/// Time between two checks of the reconnect counter.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the store's last response up to which a daemon counts as connected; it covers two calls
/// of the task that calls most often.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(1800);

/// The time of the store's last response, and a counter of reconnects.
///
/// The task that calls most often detects a reconnect first. The others may be waiting on dead
/// connections, and call again once the counter changes.
#[derive(Clone, Default)]
pub struct StoreConnectivity {
    reconnects: Rc<Cell<u64>>,
    last_response: Rc<Cell<Option<BootTime>>>,
}

impl StoreConnectivity {
    /// Records a response of the store to the task that tracks connectivity.
    pub fn record_response(&self, now: BootTime) {
        self.last_response.set(Some(now));
    }

    /// Returns whether the store responded to this daemon recently.
    pub fn is_connected(&self, now: BootTime) -> bool {
        let age = self.last_response.get().map(|at| now.since(at));
        age.is_some_and(|age| age <= MAX_RESPONSE_AGE)
    }

    /// Returns the number of reconnects.
    pub fn reconnects(&self) -> u64 {
        self.reconnects.get()
    }

    /// Records a reconnect.
    pub fn record_reconnect(&self) {
        self.reconnects.set(self.reconnects.get() + 1);
    }

    /// Waits until the number of reconnects differs from `seen`.
    pub async fn wait_for_reconnect(&self, seen: u64) {
        while self.reconnects.get() == seen {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
