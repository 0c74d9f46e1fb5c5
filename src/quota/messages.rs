//! Messages between daemons about tokens of a slice.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use std::rc::Rc;

use crate::{
    clock::Clock,
    metrics::{Counter, Metrics},
    peer::{decode, encode, PeerHandler},
    routing::ConfigurationView,
    store::BoxFuture,
};

use super::{local_slice::TakeOutcome, LocalSlice};

/// Asks the holder of a slice for one token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The workspace.
    pub workspace: String,
}

/// The answer of the daemon that was asked.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenResponse {
    /// One token.
    Granted,
    /// None; one is due after this time, µs.
    Exceeded(#[serde_as(as = "DurationMicroSeconds<u64>")] Duration),
    /// The daemon does not hold the slice now, or does not know the workspace.
    NotHolder,
}

impl From<TakeOutcome> for TokenResponse {
    fn from(taken: TakeOutcome) -> Self {
        match taken {
            TakeOutcome::Granted => Self::Granted,
            TakeOutcome::Exceeded(wait) => Self::Exceeded(wait),
            TakeOutcome::NotHolder => Self::NotHolder,
        }
    }
}

/// Answers other daemons' requests for tokens.
pub struct TokenHandler {
    /// The slice of this daemon's data centre.
    pub slice: LocalSlice,
    /// The plans.
    pub view: ConfigurationView,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The counters.
    pub metrics: Rc<Metrics>,
}

impl TokenHandler {
    fn answer(&self, req: &TokenRequest) -> TokenResponse {
        self.metrics.count(Counter::AsksAnswered);
        let table = self.view.table();
        let Some(workspace) = table.workspace_by_name(&req.workspace) else {
            return TokenResponse::NotHolder;
        };
        let now = self.clock.now();
        let taken = self.slice.take(&req.workspace, &workspace.plan, now);
        taken.into()
    }
}

impl PeerHandler for TokenHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let req: TokenRequest = decode(body)?;
            encode(&self.answer(&req))
        })
    }
}
