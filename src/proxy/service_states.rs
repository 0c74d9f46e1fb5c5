//! What retries need to know of each service.

use std::{cell::RefCell, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{
    clock::BootTime,
    retry::{RetryBudgetConfig, ServiceRetryState},
};

/// What retries need to know of each service.
pub(super) struct ServiceStates {
    terms: RetryBudgetConfig,
    by_name: RefCell<FxHashMap<Rc<str>, ServiceRetryState>>,
}

impl ServiceStates {
    /// Makes states of services whose retries are bounded by `terms`.
    pub(super) fn new(terms: RetryBudgetConfig) -> Self {
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
    pub(super) fn try_withdraw_retry(&self, service: &str, now: BootTime) -> bool {
        self.with(service, now, |state| state.try_withdraw_retry(now))
    }

    /// Returns the time after which a connection counts as silent.
    pub(super) fn silence_timeout(&self, service: &str, now: BootTime) -> Duration {
        self.with(service, now, |state| state.silence_timeout())
    }

    fn with<T>(
        &self,
        service: &str,
        now: BootTime,
        f: impl FnOnce(&mut ServiceRetryState) -> T,
    ) -> T {
        let mut by_name = self.by_name.borrow_mut();
        if let Some(state) = by_name.get_mut(service) {
            return f(state);
        }
        let mut state = ServiceRetryState::new(self.terms, now);
        let res = f(&mut state);
        by_name.insert(Rc::from(service), state);
        res
    }
}
