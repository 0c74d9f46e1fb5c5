//! Notices from other daemons.

use crate::{
    peer::{decode, encode, PeerHandler},
    store::BoxFuture,
};

use super::{PoisonNotice, PoisonTracker};

/// Handles notices from other daemons.
pub struct PoisonHandler {
    tracker: PoisonTracker,
}

impl PoisonHandler {
    /// Makes a handler that passes notices to `watch`.
    pub fn new(tracker: PoisonTracker) -> Self {
        Self { tracker }
    }
}

impl PeerHandler for PoisonHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let notice: PoisonNotice = decode(body)?;
            self.tracker.apply_notice(&notice).await;
            encode(&())
        })
    }
}
