//! The limiter that takes tokens from the slices' holders.

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

/// Longest time for an answer of a holder; a host whose processor share is used up stands still
/// for most of a tenth of a second.
const ASK_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest time for which a refusal is remembered.
const MAX_REMEMBERED: Duration = Duration::from_millis(200);

/// What the limiter needs.
pub struct QuotaParts {
    /// The slice of this daemon's data centre.
    pub slice: LocalSlice,
    /// The holders of all slices.
    pub holders: SliceHolders,
    /// Calls other daemons.
    pub peers: PeerClient,
    /// Data centre of this host.
    pub data_centre: String,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The counters.
    pub metrics: Rc<Metrics>,
}

/// Takes a token of the own data centre's slice, or of another one when that refuses.
pub struct QuotaLimiter {
    parts: QuotaParts,
    /// When the next token of a workspace is due at a data centre's slice.
    refused: RefCell<FxHashMap<(String, Rc<str>), BootTime>>,
}

impl QuotaLimiter {
    /// Makes a limiter of its parts.
    pub fn new(parts: QuotaParts) -> Self {
        Self {
            parts,
            refused: RefCell::default(),
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
            .responsive_holders(&parts.data_centre, parts.clock.now())
        {
            let now = parts.clock.now();
            let remembered = self.remembered(&centre, workspace, now);
            let taken = match remembered {
                Some(wait) => TakeOutcome::Exceeded(wait),
                None => self.take(&centre, &host, workspace, plan).await,
            };
            match taken {
                TakeOutcome::Granted => return Admission::Granted(Grant::NON_EXPIRING),
                TakeOutcome::Exceeded(wait) => {
                    if remembered.is_none() {
                        self.remember(&centre, workspace, wait);
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
        let sent = parts.clock.now();
        let asked = parts.peers.call(host, MessageKind::Ask, &req, ASK_TIMEOUT);
        let answer = asked.await;
        let latency = parts.clock.now().since(sent);
        parts.metrics.record_latency(Latency::AskLatencyS, latency);
        match answer {
            Ok(TokenResponse::Granted) => TakeOutcome::Granted,
            Ok(TokenResponse::Exceeded(wait)) => TakeOutcome::Exceeded(wait),
            Ok(TokenResponse::NotHolder) => {
                parts.holders.record_no_answer(centre, parts.clock.now());
                TakeOutcome::NotHolder
            }
            Err(e) => {
                parts.metrics.count(Counter::AsksUnanswered);
                log::info!(holder = host, data_centre = centre, reason:? = e; "holder silent");
                parts.holders.record_no_answer(centre, parts.clock.now());
                TakeOutcome::NotHolder
            }
        }
    }

    fn remembered(&self, centre: &str, workspace: &Rc<str>, now: BootTime) -> Option<Duration> {
        let refused = self.refused.borrow();
        let due = refused.get(&(centre.to_owned(), workspace.clone()))?;
        let wait = due.since(now);
        (!wait.is_zero()).then_some(wait)
    }

    fn remember(&self, centre: &str, workspace: &Rc<str>, wait: Duration) {
        let due = self.parts.clock.now() + wait.min(MAX_REMEMBERED);
        let key = (centre.to_owned(), workspace.clone());
        self.refused.borrow_mut().insert(key, due);
    }
}

impl Limiter for QuotaLimiter {
    fn admit<'a>(&'a self, workspace: &'a Rc<str>, plan: &'a Plan) -> BoxFuture<'a, Admission> {
        Box::pin(self.admit_one(workspace, plan))
    }
}
