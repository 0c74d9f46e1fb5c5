//! The limiter that takes tokens from the holders of slices.

use std::{cell::RefCell, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{
    catalog::Plan,
    clock::{BootTime, Clock},
    limit::{Admission, Grant, Limiter},
    metrics::{Counter, Latency, Metrics},
    peer::{MessageKind, PeerClient},
    store::BoxFuture,
};

use super::{local_slice::TakeOutcome, LocalSlice, SliceHolders, TokenRequest, TokenResponse};

/// Timeout for the response of a holder; a host that has used up its CPU quota is suspended for
/// most of 100 ms.
const TOKEN_REQUEST_TIMEOUT: Duration = Duration::from_millis(120);
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

    async fn admit_one(&self, workspace: &Rc<str>, plan: &Plan) -> Admission {
        if plan.rate_per_s <= 0.0 {
            return Admission::Granted(Grant::NON_EXPIRING);
        }
        let parts = &self.parts;
        let mut shortest: Option<Duration> = None;
        for (centre, host) in parts
            .holders
            .available_holders(&parts.data_centre, parts.clock.now())
        {
            let now = parts.clock.now();
            let cached = self.cached_refusal(&centre, workspace, now);
            let taken = match cached {
                Some(wait) => TakeOutcome::Exceeded(wait),
                None => self.take(&centre, &host, workspace, plan).await,
            };
            match taken {
                TakeOutcome::Granted => return Admission::Granted(Grant::NON_EXPIRING),
                TakeOutcome::Exceeded(wait) => {
                    if cached.is_none() {
                        self.cache_refusal(&centre, workspace, wait);
                    }
                    shortest = Some(shortest.map_or(wait, |s| s.min(wait)));
                }
                TakeOutcome::NotHolder => {}
            }
        }
        shortest.map_or(Admission::Unavailable, Admission::Exceeded)
    }

    async fn take(
        &self,
        centre: &str,
        host: &str,
        workspace: &Rc<str>,
        plan: &Plan,
    ) -> TakeOutcome {
        let parts = &self.parts;
        if centre == parts.data_centre {
            let taken = parts.slice.take(workspace, plan, parts.clock.now());
            if taken != TakeOutcome::NotHolder {
                return taken;
            }
        }
        parts.metrics.count(Counter::Asks);
        let req = TokenRequest {
            workspace: workspace.to_string(),
        };
        let sent_at = parts.clock.now();
        let call = parts
            .peers
            .call(host, MessageKind::Ask, &req, TOKEN_REQUEST_TIMEOUT);
        let response = call.await;
        let latency = parts.clock.now().since(sent_at);
        parts.metrics.record_latency(Latency::AskLatencyS, latency);
        match response {
            Ok(TokenResponse::Granted) => {
                parts.holders.record_available(centre, parts.clock.now());
                TakeOutcome::Granted
            }
            Ok(TokenResponse::Exceeded(wait)) => {
                parts.holders.record_available(centre, parts.clock.now());
                TakeOutcome::Exceeded(wait)
            }
            Ok(TokenResponse::NotHolder) => {
                parts.holders.record_unavailable(centre, parts.clock.now());
                TakeOutcome::NotHolder
            }
            Err(e) => {
                parts.metrics.count(Counter::AsksUnanswered);
                log::info!(holder = host, data_centre = centre, reason:? = e;
                    "slice holder did not respond");
                parts.holders.record_unavailable(centre, parts.clock.now());
                TakeOutcome::NotHolder
            }
        }
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
    fn admit<'a>(&'a self, workspace: &'a Rc<str>, plan: &'a Plan) -> BoxFuture<'a, Admission> {
        Box::pin(self.admit_one(workspace, plan))
    }
}
