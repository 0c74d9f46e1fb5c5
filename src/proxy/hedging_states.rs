//! Hedging states of all services.

use std::{cell::RefCell, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{clock::BootTime, retry::ServiceHedging};

/// Hedging states of all services, by name; without a limit, no request is hedged.
pub(super) struct HedgingStates {
    share: Option<f64>,
    by_name: RefCell<FxHashMap<Rc<str>, ServiceHedging>>,
}

impl HedgingStates {
    /// Creates an empty set whose services get a limit of `share` second attempts for each request.
    pub(super) fn new(share: Option<f64>) -> Self {
        Self {
            share,
            by_name: RefCell::default(),
        }
    }

    /// Records a request that is about to be sent to a target for the first time.
    pub(super) fn record_request(&self, service: &Rc<str>, now: BootTime) {
        let Some(share) = self.share else {
            return;
        };
        let mut by_name = self.by_name.borrow_mut();
        let state = by_name.entry(service.clone());
        let state = state.or_insert_with(|| ServiceHedging::new(share, now));
        state.record_request(now);
    }

    /// Records the time that a first attempt took, or the time after which it was cancelled.
    pub(super) fn record_latency(
        &self,
        service: &str,
        route: &Rc<str>,
        latency: Duration,
        now: BootTime,
    ) {
        self.with_state(service, |state| state.record_latency(route, latency, now));
    }

    /// Returns the time after which a second attempt is considered; `None` if it is not.
    pub(super) fn delay(&self, service: &str, route: &str) -> Option<Duration> {
        self.with_state(service, |state| state.delay(route))?
    }

    /// Calls `f` with the state of a service; returns `None` if there is none, as without a limit.
    pub(super) fn with_state<T>(
        &self,
        service: &str,
        f: impl FnOnce(&mut ServiceHedging) -> T,
    ) -> Option<T> {
        self.by_name.borrow_mut().get_mut(service).map(f)
    }
}
