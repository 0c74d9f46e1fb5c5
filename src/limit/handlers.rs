//! Handlers of other daemons' messages about tokens.

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

/// Answers asks for tokens.
pub struct TokenRequestHandler {
    /// What this daemon owns.
    pub owner: OwnershipHandle,
    /// The plans.
    pub catalog: CatalogView,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The counters.
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
        let taken = self.owner.with(|o| o.take(slice, &workspace, plan, now));
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

/// Takes levels that another daemon hands over.
pub struct HandoverHandler {
    /// What this daemon owns.
    pub owner: OwnershipHandle,
}

impl PeerHandler for HandoverHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let reqs: Vec<HandoverRequest> = decode(body)?;
            self.owner.with(|o| {
                for req in reqs {
                    o.receive_levels(req.slice, req.epoch, req.levels);
                }
            });
            self.owner.request_refresh();
            encode(&true)
        })
    }
}
