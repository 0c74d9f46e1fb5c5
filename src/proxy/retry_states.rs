//! Retry states of all services.

use std::{cell::RefCell, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{
    clock::BootTime,
    retry::{RetryBudgetConfig, ServiceRetryState},
};

/// Returns the limits on the retries of one service, which may change with the fleet.
pub type RetryBudgetSource = Box<dyn Fn() -> RetryBudgetConfig>;

/// Retry states of all services, by name.
pub(super) struct ServiceRetryStates {
    budget: RetryBudgetSource,
    by_name: RefCell<FxHashMap<Rc<str>, ServiceRetryState>>,
}

impl ServiceRetryStates {
    /// Creates an empty set whose services get retry budgets with the limits that `budget` returns.
    pub(super) fn new(budget: RetryBudgetSource) -> Self {
        Self {
            budget,
            by_name: RefCell::default(),
        }
    }

    /// Records a request that is about to be sent to a target for the first time.
    pub(super) fn record_request(&self, service: &str, now: BootTime) {
        self.with_state(service, now, |state| {
            state.set_budget((self.budget)());
            state.record_request();
        });
    }

    /// Records an answered request.
    pub(super) fn record_answer(&self, service: &str, latency: Duration, now: BootTime) {
        self.with_state(service, now, |state| state.record_answer(latency));
    }

    /// Takes one retry from the budget of a service; returns whether it is allowed.
    pub(super) fn try_withdraw_retry(&self, service: &str, now: BootTime) -> bool {
        self.with_state(service, now, |state| state.try_withdraw_retry(now))
    }

    /// Returns whether the budget of a service is too low for hedged requests.
    pub(super) fn is_budget_low(&self, service: &str, now: BootTime) -> bool {
        self.with_state(service, now, |state| state.is_budget_low(now))
    }

    /// Returns the time after which a connection is considered silent.
    pub(super) fn silence_timeout(&self, service: &str, now: BootTime) -> Duration {
        self.with_state(service, now, |state| state.silence_timeout())
    }

    fn with_state<T>(
        &self,
        service: &str,
        now: BootTime,
        f: impl FnOnce(&mut ServiceRetryState) -> T,
    ) -> T {
        let mut by_name = self.by_name.borrow_mut();
        if let Some(state) = by_name.get_mut(service) {
            return f(state);
        }
        let mut state = ServiceRetryState::new((self.budget)(), now);
        let res = f(&mut state);
        by_name.insert(Rc::from(service), state);
        res
    }
}
