//! Handlers of token requests and handovers from other daemons.

use std::rc::Rc;

use crate::{
    clock::Clock,
    lease::{partition_of, SliceId},
    metrics::{Counter, Metrics},
    peer::{decode, encode, PeerHandler},
    store::BoxFuture,
    sync::CatalogView,
};

use super::{HandoverRequest, OwnershipHandle, TakeOutcome, TokenRequest, TokenResponse};

/// Answers token requests of other daemons from the slices that this daemon owns.
pub struct TokenRequestHandler {
    /// The slices that this daemon owns.
    pub ownership: OwnershipHandle,
    /// The plans.
    pub catalog: CatalogView,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// Metrics of this daemon.
    pub metrics: Rc<Metrics>,
}

impl TokenRequestHandler {
    fn answer(&self, req: &TokenRequest) -> TokenResponse {
        self.metrics.count(Counter::AsksAnswered);
        let catalog = self.catalog.get();
        let Some(plan) = catalog.plan_of(&req.workspace) else {
            return TokenResponse::NotOwner;
        };
        let workspace: Rc<str> = Rc::from(req.workspace.as_str());
        let slice = SliceId {
            partition: partition_of(&req.workspace),
            index: req.index,
        };
        let now = self.clock.now();
        let taken = self
            .ownership
            .with(|o| o.take(slice, &workspace, plan, now));
        match taken {
            TakeOutcome::Granted(grant) => TokenResponse::Granted(grant.lifetime),
            TakeOutcome::Exceeded(wait) => TokenResponse::Exceeded(wait),
            TakeOutcome::NotOwner => TokenResponse::NotOwner,
        }
    }
}

impl PeerHandler for TokenRequestHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let req: TokenRequest = decode(body)?;
            encode(&self.answer(&req))
        })
    }
}

/// Receives the bucket levels that another daemon hands over.
pub struct HandoverHandler {
    /// The slices that this daemon owns.
    pub ownership: OwnershipHandle,
}

impl PeerHandler for HandoverHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let reqs: Vec<HandoverRequest> = decode(body)?;
            self.ownership.with(|o| {
                for req in reqs {
                    o.receive_levels(req.slice, req.epoch, req.levels);
                }
            });
            self.ownership.request_refresh();
            encode(&true)
        })
    }
}
