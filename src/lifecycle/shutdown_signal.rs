//! The signal by which all tasks learn of a shutdown.

use std::rc::Rc;

use local_sync::semaphore::Semaphore;

/// The signal by which all tasks learn of a shutdown.
#[derive(Clone)]
pub struct ShutdownSignal {
    /// Never has a permit; its closing is the signal.
    gate: Rc<Semaphore>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self {
            gate: Rc::new(Semaphore::new(0)),
        }
    }
}

impl ShutdownSignal {
    /// Begins the shutdown.
    pub fn trigger(&self) {
        self.gate.close();
    }

    /// Tells whether the shutdown has begun.
    pub fn is_triggered(&self) -> bool {
        self.gate.is_closed()
    }

    /// Waits until the shutdown begins.
    pub async fn wait(&self) {
        let _ = self.gate.acquire().await;
    }
}
