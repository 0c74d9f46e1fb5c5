//! The configuration in force at this daemon, shared by its tasks.

use std::{
    cell::{Ref, RefCell},
    rc::Rc,
    time::Duration,
};

use crate::{catalog::KeyHasher, clock::BootTime};

use super::{Configuration, Freshness, RouteTable};

/// The configuration in force at this daemon and the proof of its freshness.
#[derive(Clone)]
pub struct ConfigurationView {
    table: Rc<RefCell<Rc<RouteTable>>>,
    freshness: Rc<RefCell<Freshness>>,
    hasher: KeyHasher,
    max_age: Duration,
}

impl ConfigurationView {
    /// Makes a view without a configuration, whose keys work for `max_age` behind the last proof.
    pub fn new(hasher: KeyHasher, max_age: Duration) -> Self {
        Self {
            table: Rc::default(),
            freshness: Rc::default(),
            hasher,
            max_age,
        }
    }

    /// Takes over `cfg` when its version is higher than the one in force; tells whether it is.
    pub fn apply(&self, cfg: &Configuration) -> bool {
        if cfg.version <= self.version() {
            return false;
        }
        let table = RouteTable::new(cfg, &self.hasher);
        *self.table.borrow_mut() = Rc::new(table);
        true
    }

    /// Returns the version in force, 0 when there is none.
    pub fn version(&self) -> u64 {
        self.table.borrow().version
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Rc<RouteTable> {
        self.table.borrow().clone()
    }

    /// Returns the proof of freshness; the borrow must end before the next await.
    ///
    /// # Panics
    ///
    /// Panics while [`ConfigurationView::update_freshness`] runs, which no caller can observe.
    pub fn freshness(&self) -> Ref<'_, Freshness> {
        self.freshness.borrow()
    }

    /// Changes the proof of freshness.
    pub fn update_freshness(&self, change: impl FnOnce(&mut Freshness)) {
        change(&mut self.freshness.borrow_mut());
    }

    /// Tells whether the keys held are proven to be the newest ones.
    pub fn is_fresh(&self, now: BootTime) -> bool {
        let age = self.freshness.borrow().age(now);
        self.version() > 0 && age.is_some_and(|age| age < self.max_age)
    }

    /// Returns the hasher of keys.
    pub fn hasher(&self) -> &KeyHasher {
        &self.hasher
    }
}
