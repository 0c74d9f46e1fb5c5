//! Signal that notifies tasks of a shutdown.

use std::rc::Rc;

use local_sync::semaphore::Semaphore;

/// Signal that notifies tasks of a shutdown; clones share one state.
#[derive(Clone)]
pub struct ShutdownSignal {
    /// Never has a permit; closing it wakes all waiting tasks.
    semaphore: Rc<Semaphore>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self {
            semaphore: Rc::new(Semaphore::new(0)),
        }
    }
}

impl ShutdownSignal {
    /// Triggers the signal.
    pub fn trigger(&self) {
        self.semaphore.close();
    }

    /// Returns whether the signal has been triggered.
    pub fn is_triggered(&self) -> bool {
        self.semaphore.is_closed()
    }

    /// Waits until the signal is triggered.
    pub async fn wait(&self) {
        let _ = self.semaphore.acquire().await;
    }
}
