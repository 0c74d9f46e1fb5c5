//! Access to what this daemon owns, for the tasks of its single thread.

use std::{cell::RefCell, rc::Rc};

use local_sync::mpsc;

use super::OwnershipState;

/// Access to what this daemon owns; no borrow lasts over an await.
#[derive(Clone)]
pub struct OwnershipHandle {
    owner: Rc<RefCell<OwnershipState>>,
    refresh: mpsc::unbounded::Tx<()>,
}

impl OwnershipHandle {
    /// Makes a view of `owner`; the receiver of `refresh` reads the table again.
    pub fn new(owner: OwnershipState, refresh: mpsc::unbounded::Tx<()>) -> Self {
        Self {
            owner: Rc::new(RefCell::new(owner)),
            refresh,
        }
    }

    /// Runs `f` on the owner.
    ///
    /// # Panics
    ///
    /// Panics when `f` uses the view again.
    pub fn with<T>(&self, f: impl FnOnce(&mut OwnershipState) -> T) -> T {
        f(&mut self.owner.borrow_mut())
    }

    /// Asks for the slices' owners to be read again soon.
    pub fn request_refresh(&self) {
        let _ = self.refresh.send(());
    }
}
