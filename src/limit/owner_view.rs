//! Access to what this daemon owns, for the tasks of its single thread.

use std::{cell::RefCell, rc::Rc};

use local_sync::mpsc;

use super::Owner;

/// Access to what this daemon owns; no borrow lasts over an await.
#[derive(Clone)]
pub struct OwnerView {
    owner: Rc<RefCell<Owner>>,
    refresh: mpsc::unbounded::Tx<()>,
}

impl OwnerView {
    /// Makes a view of `owner`; the receiver of `refresh` reads the table again.
    pub fn new(owner: Owner, refresh: mpsc::unbounded::Tx<()>) -> Self {
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
    pub fn with<T>(&self, f: impl FnOnce(&mut Owner) -> T) -> T {
        f(&mut self.owner.borrow_mut())
    }

    /// Asks for the slices' owners to be read again soon.
    pub fn refresh(&self) {
        let _ = self.refresh.send(());
    }
}
