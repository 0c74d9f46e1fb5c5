//! What retries need to know of each service.

use std::{cell::RefCell, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{
    clock::BootTime,
    retry::{RetryTerms, ServiceState},
};

/// What retries need to know of each service.
pub(super) struct ServiceStates {
    terms: RetryTerms,
    by_name: RefCell<FxHashMap<Rc<str>, ServiceState>>,
}

impl ServiceStates {
    /// Makes states of services whose retries are bounded by `terms`.
    pub(super) fn new(terms: RetryTerms) -> Self {
        Self {
            terms,
            by_name: RefCell::default(),
        }
    }

    /// Takes note of an answer.
    pub(super) fn record_answer(&self, service: &str, latency: Duration, now: BootTime) {
        self.with(service, now, |state| state.record_answer(latency));
    }

    /// Takes one retry, and tells whether it was granted.
    pub(super) fn withdraw(&self, service: &str, now: BootTime) -> bool {
        self.with(service, now, |state| state.withdraw(now))
    }

    /// Returns the time after which a connection counts as silent.
    pub(super) fn silence(&self, service: &str, now: BootTime) -> Duration {
        self.with(service, now, |state| state.silence())
    }

    fn with<T>(&self, service: &str, now: BootTime, f: impl FnOnce(&mut ServiceState) -> T) -> T {
        let mut by_name = self.by_name.borrow_mut();
        if let Some(state) = by_name.get_mut(service) {
            return f(state);
        }
        let mut state = ServiceState::new(self.terms, now);
        let res = f(&mut state);
        by_name.insert(Rc::from(service), state);
        res
    }
}
