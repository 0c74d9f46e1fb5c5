//! The admission state of a daemon, shared by the tasks that use it.

use std::{cell::RefCell, rc::Rc, time::Duration};

use crate::{
    clock::Clock,
    follow::{ReaderRole, SharedReaderRole},
    metrics::{Counter, Metrics},
    peer::PeerDirectory,
    routing::ConfigurationView,
    store::ListedHost,
};

use super::{
    AdmissionGate, GateDecision, LevelMessage, LoadAggregator, LoadRecorder, LoadReport, PushPacer,
};

struct State {
    recorder: LoadRecorder,
    aggregator: LoadAggregator,
    gate: AdmissionGate,
    pacer: PushPacer,
}

/// The admission state of a daemon, shared by the tasks that use it.
#[derive(Clone)]
pub struct AdmissionHandle {
    state: Rc<RefCell<State>>,
    view: ConfigurationView,
    role: SharedReaderRole,
    directory: PeerDirectory,
    metrics: Rc<Metrics>,
    clock: Rc<dyn Clock>,
}

impl AdmissionHandle {
    /// Creates a handle that admits all requests. It stays inactive while all requests of the
    /// configuration in `view` have one rank.
    pub fn new(
        view: ConfigurationView,
        role: SharedReaderRole,
        directory: PeerDirectory,
        metrics: Rc<Metrics>,
        clock: Rc<dyn Clock>,
    ) -> Self {
        Self {
            state: Rc::new(RefCell::new(State {
                recorder: LoadRecorder::default(),
                aggregator: LoadAggregator::default(),
                gate: AdmissionGate::new(fastrand::u64(..)),
                pacer: PushPacer::default(),
            })),
            view,
            role,
            directory,
            metrics,
            clock,
        }
    }

    fn is_active(&self) -> bool {
        self.view.table().has_several_ranks
    }

    /// Decides on a request that is within its plan, before its first attempt.
    pub fn admit(&self, service: &Rc<str>, rank: u32) -> GateDecision {
        if !self.is_active() {
            return GateDecision::Admit;
        }
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.recorder.record_offered(service, rank, now);
        let decision = state.gate.decide(service, rank, now);
        if decision != GateDecision::Admit {
            self.metrics.count(Counter::AdmissionRejected);
        }
        decision
    }

    /// Returns whether requests of a rank are being rejected, so that none is sent again.
    pub fn rejects(&self, service: &str, rank: u32) -> bool {
        let now = self.clock.now();
        self.is_active() && self.state.borrow().gate.rejects(service, rank, now)
    }

    /// Counts an admitted request as in flight until the guard is dropped.
    pub fn start(&self, service: &Rc<str>) -> InFlightGuard {
        self.state.borrow_mut().recorder.record_start(service);
        InFlightGuard {
            state: self.state.clone(),
            service: service.clone(),
        }
    }

    /// Records an answer of a target, with the time that it took and the load that the target
    /// reported.
    pub fn record_answer(&self, service: &Rc<str>, latency: Duration, load: Option<f64>) {
        if self.is_active() {
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            state.recorder.record_answer(service, latency, load, now);
        }
    }

    /// Replaces the list of targets, whose slots are the capacity of the services.
    pub fn set_targets(&self, hosts: &[ListedHost]) {
        let slots = hosts.iter().filter(|h| !h.leaving);
        let slots = slots.filter_map(|h| Some((h.service.as_deref()?, h.slots)));
        self.state.borrow_mut().recorder.set_slots(slots);
    }

    /// Returns the report of this daemon; `None` if no service is busy or has a level.
    pub fn own_report(&self) -> Option<LoadReport> {
        if !self.is_active() {
            return None;
        }
        let state = self.state.borrow();
        let report = state.recorder.report(self.clock.now());
        let is_needed = !report.services.is_empty() || state.gate.has_levels();
        is_needed.then_some(report)
    }

    /// Records the report of a daemon of the data centre.
    pub fn record_daemon(&self, host: &str, report: LoadReport) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.aggregator.apply_daemon(host, report, now);
    }

    /// Records the sums of another data centre.
    pub fn record_centre(&self, centre: &str, report: LoadReport) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.aggregator.apply_centre(centre, report, now);
    }

    /// Returns the sums of the data centre; `None` if this daemon does not read the store for the
    /// others, or no service is busy.
    pub fn centre_sums(&self) -> Option<LoadReport> {
        if !self.is_active() || self.role.get() != ReaderRole::ForOthers {
            return None;
        }
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let own = state.recorder.report(now);
        let sums = state.aggregator.centre_sums(&own, now);
        (!sums.services.is_empty()).then_some(sums)
    }

    /// Returns the levels that follow from the reports which this daemon received.
    pub fn levels(&self) -> LevelMessage {
        if !self.is_active() {
            return LevelMessage::default();
        }
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let own = state.recorder.report(now);
        let fleet = self.directory.peers().len() + 1;
        state.aggregator.levels(&own, fleet, now)
    }

    /// Returns the levels if this daemon reads the store for the others and should send them to the
    /// others now, without waiting for their polls.
    pub fn levels_to_push(&self) -> Option<LevelMessage> {
        // Without reports no service is busy, and the own report of all services need not be made.
        let is_idle = self.state.borrow().aggregator.is_empty();
        if is_idle || self.role.get() != ReaderRole::ForOthers {
            return None;
        }
        let levels = self.levels();
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.pacer.should_push(&levels, now).then_some(levels)
    }

    /// Puts the levels of a reader into force.
    pub fn apply_levels(&self, msg: &LevelMessage) {
        let now = self.clock.now();
        let changes = self.state.borrow_mut().gate.apply(msg, now);
        for (service, level) in changes {
            match level {
                Some(level) => {
                    self.metrics.count(Counter::AdmissionLevels);
                    log::info!(service = &*service, marginal_rank = level.marginal_rank,
                        marginal_share = level.marginal_share, floor_share = level.floor_share;
                        "service is full; rejecting requests by rank");
                }
                None => {
                    log::info!(service = &*service; "service is no longer full; admitting all ranks");
                }
            }
        }
    }
}

/// Counts a request as in flight until this is dropped.
pub struct InFlightGuard {
    state: Rc<RefCell<State>>,
    service: Rc<str>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.borrow_mut().recorder.record_end(&self.service);
    }
}
