//! Shared access to the ownership state, for the tasks of a daemon's single thread.

use std::{cell::RefCell, rc::Rc};

use local_sync::mpsc;

use super::OwnershipState;

/// Shared access to the ownership state; no borrow is held across an await point.
#[derive(Clone)]
pub struct OwnershipHandle {
    state: Rc<RefCell<OwnershipState>>,
    refresh_tx: mpsc::unbounded::Tx<()>,
}

impl OwnershipHandle {
    /// Creates a handle to `state`; the receiver of `refresh_tx` reads the table again.
    pub fn new(state: OwnershipState, refresh_tx: mpsc::unbounded::Tx<()>) -> Self {
        Self {
            state: Rc::new(RefCell::new(state)),
            refresh_tx,
        }
    }

    /// Runs `f` on the ownership state.
    ///
    /// # Panics
    ///
    /// Panics if `f` uses this handle again.
    pub fn with<T>(&self, f: impl FnOnce(&mut OwnershipState) -> T) -> T {
        f(&mut self.state.borrow_mut())
    }

    /// Requests that the owners of the slices are read again soon.
    pub fn request_refresh(&self) {
        let _ = self.refresh_tx.send(());
    }
}
