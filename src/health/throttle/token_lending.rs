//! Requests for tokens that another daemon has left for a limited target.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    metrics::{Counter, Metrics},
    peer::{decode, encode, MessageKind, PeerClient, PeerHandler},
    store::BoxFuture,
};

use super::super::{BalancerHandle, PickError, PickedTarget, ScheduleRequest, TargetId};

/// Timeout of one request for a token; a caller waits for at most two of them.
const LEND_TIMEOUT: Duration = Duration::from_millis(60);

/// A daemon that may have a token left.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lender {
    /// Identity of the limited target.
    pub id: TargetId,
    /// Name of the limited target.
    pub target: Rc<str>,
    /// Host of the daemon.
    pub host: Rc<str>,
    /// Whether the target is cold.
    pub is_cold: bool,
}

/// Requests one token of a limited target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LendRequest {
    /// Name of the target.
    pub target: String,
    /// Whether the target is cold, so that a token of its warm-up limit is needed. Left out if not,
    /// as earlier builds do.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_cold: bool,
}

/// Picks targets, with tokens of other daemons where this one has none.
#[derive(Clone)]
pub struct TokenBorrower {
    /// Picks targets.
    pub balancer: BalancerHandle,
    /// Client for calls to other daemons.
    pub peers: PeerClient,
    /// The counters.
    pub metrics: Rc<Metrics>,
}

impl TokenBorrower {
    /// Picks a target; if all are limited and this daemon has no token, with one of another daemon.
    ///
    /// # Errors
    ///
    /// Returns why no target was picked.
    pub async fn pick(&self, req: ScheduleRequest) -> Result<PickedTarget, PickError> {
        let throttled = match self.balancer.pick(req.clone()).await {
            Err(PickError::Throttled(wait)) => PickError::Throttled(wait),
            res => return res,
        };
        for lender in self.balancer.find_lenders(&req).await {
            if self.borrow(&lender).await {
                return self.balancer.pick_granted(lender.id).await;
            }
        }
        Err(throttled)
    }

    async fn borrow(&self, lender: &Lender) -> bool {
        let req = LendRequest {
            target: lender.target.to_string(),
            is_cold: lender.is_cold,
        };
        let asked = Instant::now();
        self.metrics.count(Counter::TokensAsked);
        let (peers, kind) = (&self.peers, MessageKind::Lend);
        match peers.call(&lender.host, kind, &req, LEND_TIMEOUT).await {
            // A token that arrives late, as after a suspension, belongs to an earlier time.
            Ok(lent) => lent && asked.elapsed() <= LEND_TIMEOUT,
            Err(e) => {
                log::info!(lender = &*lender.host, target_name = &*lender.target, reason:? = e;
                    "no response to a request for a token");
                false
            }
        }
    }
}

/// Lends this daemon's tokens to other daemons.
pub struct LendHandler {
    /// Balancer that holds the tokens.
    pub balancer: BalancerHandle,
    /// The counters.
    pub metrics: Rc<Metrics>,
}

impl PeerHandler for LendHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let req: LendRequest = decode(body)?;
            let lent = self.balancer.lend_token(req.target, req.is_cold).await;
            if lent {
                self.metrics.count(Counter::TokensLent);
            }
            encode(&lent)
        })
    }
}
