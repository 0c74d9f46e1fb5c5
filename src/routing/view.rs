//! Shared view of the configuration in force.

use std::{
    cell::{Ref, RefCell},
    rc::Rc,
    time::Duration,
};

use crate::{catalog::KeyHasher, clock::BootTime, store::Era};

use super::{Configuration, EraGate, EraVerdict, Freshness, RouteTable};

/// The configuration in force and the proof of its freshness, shared by the tasks of this daemon.
#[derive(Clone)]
pub struct ConfigurationView {
    table: Rc<RefCell<Rc<RouteTable>>>,
    freshness: Rc<RefCell<Freshness>>,
    eras: Rc<RefCell<EraGate>>,
    hasher: KeyHasher,
    max_age: Duration,
}

impl ConfigurationView {
    /// Creates a view without a configuration. Keys are accepted while the newest proof of
    /// freshness is less than `max_age` old.
    pub fn new(hasher: KeyHasher, max_age: Duration) -> Self {
        Self {
            table: Rc::default(),
            freshness: Rc::default(),
            eras: Rc::default(),
            hasher,
            max_age,
        }
    }

    /// Applies `cfg` if its version is higher than the one in force; returns whether it was
    /// applied.
    pub fn apply(&self, cfg: &Configuration) -> bool {
        if cfg.version <= self.version() {
            return false;
        }
        let table = RouteTable::new(cfg, &self.hasher);
        *self.table.borrow_mut() = Rc::new(table);
        true
    }

    /// Returns the version in force, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.table.borrow().version
    }

    /// Returns the lookup tables of the configuration in force.
    pub fn table(&self) -> Rc<RouteTable> {
        self.table.borrow().clone()
    }

    /// Returns the proof of freshness; the borrow must not be held across an await point.
    ///
    /// # Panics
    ///
    /// Panics while [`ConfigurationView::update_freshness`] runs, which no caller can observe.
    pub fn freshness(&self) -> Ref<'_, Freshness> {
        self.freshness.borrow()
    }

    /// Updates the proof of freshness.
    pub fn update_freshness(&self, change: impl FnOnce(&mut Freshness)) {
        change(&mut self.freshness.borrow_mut());
    }

    /// Records a response of the store in `era` with the time `store_time` of the store; returns
    /// whether it proves freshness.
    pub fn record_answer(
        &self,
        era: Era,
        sent: BootTime,
        received: BootTime,
        store_time: Duration,
    ) -> EraVerdict {
        let is_new = self.eras.borrow().proven_in() != Some(era);
        let in_force = self.version();
        let verdict = self.eras.borrow_mut().on_answer(era, in_force, received);
        if verdict == EraVerdict::Proves {
            let mut freshness = self.freshness.borrow_mut();
            if is_new {
                freshness.forget_store_clock();
            }
            freshness.record_answer(sent, received, store_time);
        }
        verdict
    }

    /// Adopts the proof of another daemon, which was `age` old at `requested_at`, for a copy of `era`;
    /// returns whether it proves freshness of the configuration in force.
    pub fn adopt_peer_proof(&self, era: Era, requested_at: BootTime, age: Duration) -> EraVerdict {
        let verdict = self.eras.borrow_mut().on_peer_proof(era, self.version());
        if verdict == EraVerdict::Proves {
            self.update_freshness(|f| f.adopt_peer_proof(requested_at, age));
        }
        verdict
    }

    /// Returns whether reads in `era` prove freshness of the configuration in force.
    pub fn era_verdict(&self, era: Era) -> EraVerdict {
        self.eras.borrow().verdict(era, self.version())
    }

    /// Updates what is known of the eras of the store.
    pub fn update_eras(&self, change: impl FnOnce(&mut EraGate)) {
        change(&mut self.eras.borrow_mut());
    }

    /// Returns whether the configuration is proven to be recent enough to accept keys.
    pub fn is_fresh(&self, now: BootTime) -> bool {
        let age = self.freshness.borrow().age(now);
        self.version() > 0 && age.is_some_and(|age| age < self.max_age)
    }

    /// Returns the hasher of keys.
    pub fn hasher(&self) -> &KeyHasher {
        &self.hasher
    }
}
