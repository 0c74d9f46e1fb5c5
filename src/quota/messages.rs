//! Messages by which daemons request tokens of a slice.

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

use super::{local_slice::TakeOutcome, HolderChange, LocalSlice};

/// Requests one token from the holder of a slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The workspace.
    pub workspace: String,
}

/// The response to a [`TokenRequest`].
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenResponse {
    /// One token was granted.
    Granted,
    /// No token; the next one is due after this time, µs.
    Exceeded(#[serde_as(as = "DurationMicroSeconds<u64>")] Duration),
    /// The daemon does not hold the slice at present, or does not know the workspace.
    NotHolder,
    /// The daemon has handed the slice over to this holder.
    Moved(HolderChange),
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

/// Answers token requests of other daemons.
pub struct TokenHandler {
    /// The slice of the local data centre.
    pub slice: LocalSlice,
    /// The plans.
    pub view: ConfigurationView,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// Metrics of this daemon.
    pub metrics: Rc<Metrics>,
}

impl TokenHandler {
    async fn answer(&self, req: &TokenRequest) -> TokenResponse {
        self.metrics.count(Counter::AsksAnswered);
        let table = self.view.table();
        let Some(workspace) = table.workspace_by_name(&req.workspace) else {
            return TokenResponse::NotHolder;
        };
        let now = self.clock.now();
        let taken = self.slice.take(&req.workspace, &workspace.plan, now);
        if taken == TakeOutcome::NotHolder {
            if let Some(holder) = self.slice.new_holder().await {
                self.metrics.count(Counter::AsksRedirected);
                return TokenResponse::Moved(holder);
            }
        }
        taken.into()
    }
}

impl PeerHandler for TokenHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let req: TokenRequest = decode(body)?;
            encode(&self.answer(&req).await)
        })
    }
}
