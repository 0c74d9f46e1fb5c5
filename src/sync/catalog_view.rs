//! Read access to the catalog for all tasks of a daemon.

use std::{
    cell::{Cell, Ref, RefCell},
    rc::Rc,
};

use crate::{catalog::Catalog, clock::BootTime};

/// Read access to the catalog; only the sync task changes it.
#[derive(Clone, Default)]
pub struct CatalogView {
    shared: Rc<RefCell<Catalog>>,
    serve_until: Rc<Cell<BootTime>>,
}

impl CatalogView {
    /// Returns the catalog; the borrow must end before the next await.
    ///
    /// # Panics
    ///
    /// Panics while the sync task holds its mutable borrow, which never lasts across an await.
    pub fn get(&self) -> Ref<'_, Catalog> {
        self.shared.borrow()
    }

    /// Returns whether a catalog is loaded that may be served at `now`.
    pub fn is_ready(&self, now: BootTime) -> bool {
        self.get().is_loaded() && now < self.serve_until.get()
    }

    /// Sets the time until which the catalog may be served.
    pub(super) fn set_serve_until(&self, at: BootTime) {
        self.serve_until.set(at);
    }

    /// Changes the catalog.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut Catalog) -> T) -> T {
        change(&mut self.shared.borrow_mut())
    }
}
