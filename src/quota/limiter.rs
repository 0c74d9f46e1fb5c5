//! The limiter that takes tokens from the holders of slices.

use std::{cell::RefCell, rc::Rc, time::Duration};

use local_sync::mpsc;
use monoio::time::timeout;
use rustc_hash::FxHashMap;

use crate::{
    catalog::Plan,
    clock::{BootTime, Clock},
    limit::{Admission, Grant, Limiter},
    metrics::{Counter, Metrics},
    peer::PeerClient,
    store::BoxFuture,
};

use super::{
    token_call::{Answer, TokenCall},
    LocalSlice, SearchStep, SliceHolders, TakeOutcome, TokenSearch,
};

/// Longest time for which a refusal is cached.
const MAX_REFUSAL_TTL: Duration = Duration::from_millis(200);

/// Dependencies of the limiter.
pub struct QuotaParts {
    /// The slice of the local data centre.
    pub slice: LocalSlice,
    /// The holders of all slices.
    pub holders: SliceHolders,
    /// Client for calls to other daemons.
    pub peers: PeerClient,
    /// Data centre of this host.
    pub data_centre: String,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// Metrics of this daemon.
    pub metrics: Rc<Metrics>,
}

/// Takes tokens from the slice of the local data centre, or from another one if that refuses.
pub struct QuotaLimiter {
    parts: QuotaParts,
    /// Cached refusals by data centre and workspace, with the time at which each expires: when the
    /// next token is due, or after [`MAX_REFUSAL_TTL`] if that is sooner.
    refusals: RefCell<FxHashMap<(String, Rc<str>), BootTime>>,
}

impl QuotaLimiter {
    /// Creates a limiter with the given dependencies.
    pub fn new(parts: QuotaParts) -> Self {
        Self {
            parts,
            refusals: RefCell::default(),
        }
    }

    async fn admit_one(&self, workspace: &Rc<str>, plan: &Plan, deadline: BootTime) -> Admission {
        if plan.rate_per_s <= 0.0 {
            return Admission::Granted(Grant::NON_EXPIRING);
        }
        let parts = &self.parts;
        let now = parts.clock.now();
        let holders = parts.holders.search_holders(&parts.data_centre, now);
        let mut search = TokenSearch::new(holders, deadline, now);
        let (tx, mut rx) = mpsc::unbounded::channel();
        let admission = loop {
            let now = parts.clock.now();
            match search.next(now) {
                SearchStep::Ask(holder) => {
                    match self.take_locally(&holder.centre, workspace, plan, now) {
                        Some(taken) => search.record(&holder.centre, taken),
                        None => {
                            let limit = search.call_timeout(now);
                            let call = TokenCall {
                                slice: parts.slice.clone(),
                                holders: parts.holders.clone(),
                                peers: parts.peers.clone(),
                                clock: parts.clock.clone(),
                                metrics: parts.metrics.clone(),
                                workspace: workspace.clone(),
                                holder,
                            };
                            monoio::spawn(call.run(limit, tx.clone()));
                        }
                    }
                }
                SearchStep::Wait(until) => {
                    if let Ok(Some(answer)) = timeout(until.since(now), rx.recv()).await {
                        self.record_answer(&mut search, workspace, answer);
                    }
                }
                SearchStep::Done(admission) => break admission,
            }
        };
        if search.is_extended() {
            parts.metrics.count(Counter::AsksExtended);
            let took_ms = parts.clock.now().since(now).as_millis() as u64;
            log::info!(workspace = &**workspace, took_ms = took_ms, admission:? = admission;
                "no slice holder responded in time, waited longer");
        }
        admission
    }

    /// Takes a token without a call to another daemon: from the slice of this daemon, or from a
    /// cached refusal.
    fn take_locally(
        &self,
        centre: &str,
        workspace: &Rc<str>,
        plan: &Plan,
        now: BootTime,
    ) -> Option<TakeOutcome> {
        if let Some(wait) = self.cached_refusal(centre, workspace, now) {
            return Some(TakeOutcome::Exceeded(wait));
        }
        if centre != self.parts.data_centre {
            return None;
        }
        let taken = self.parts.slice.take(workspace, plan, now);
        if let TakeOutcome::Exceeded(wait) = taken {
            self.cache_refusal(centre, workspace, wait);
        }
        Some(taken).filter(|t| *t != TakeOutcome::NotHolder)
    }

    fn record_answer(&self, search: &mut TokenSearch, workspace: &Rc<str>, answer: Answer) {
        if let TakeOutcome::Exceeded(wait) = answer.taken {
            self.cache_refusal(&answer.centre, workspace, wait);
        }
        search.record(&answer.centre, answer.taken);
    }

    fn cached_refusal(&self, centre: &str, workspace: &Rc<str>, now: BootTime) -> Option<Duration> {
        let refusals = self.refusals.borrow();
        let due = refusals.get(&(centre.to_owned(), workspace.clone()))?;
        let wait = due.since(now);
        (!wait.is_zero()).then_some(wait)
    }

    fn cache_refusal(&self, centre: &str, workspace: &Rc<str>, wait: Duration) {
        let due = self.parts.clock.now() + wait.min(MAX_REFUSAL_TTL);
        let key = (centre.to_owned(), workspace.clone());
        self.refusals.borrow_mut().insert(key, due);
    }
}

impl Limiter for QuotaLimiter {
    fn admit<'a>(
        &'a self,
        workspace: &'a Rc<str>,
        plan: &'a Plan,
        deadline: BootTime,
    ) -> BoxFuture<'a, Admission> {
        Box::pin(self.admit_one(workspace, plan, deadline))
    }
}
