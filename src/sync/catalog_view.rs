//! Read access to the catalog for all tasks of a daemon.

use std::{
    cell::{Ref, RefCell},
    rc::Rc,
};

use crate::catalog::Catalog;

/// Read access to the catalog; only the sync task changes it.
#[derive(Clone, Default)]
pub struct CatalogView {
    shared: Rc<RefCell<Catalog>>,
}

impl CatalogView {
    /// Returns the catalog; the borrow must end before the next await.
    ///
    /// # Panics
    ///
    /// Panics when a borrow of the writer is alive, which never lasts over an await.
    pub fn get(&self) -> Ref<'_, Catalog> {
        self.shared.borrow()
    }

    /// Tells whether a revision is held.
    pub fn is_ready(&self) -> bool {
        self.get().is_loaded()
    }

    /// Changes the catalog.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut Catalog) -> T) -> T {
        change(&mut self.shared.borrow_mut())
    }
}
