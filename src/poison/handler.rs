//! Notices from other daemons.

use crate::{
    peer::{decode, encode, PeerHandler},
    store::BoxFuture,
};

use super::{PoisonNotice, PoisonWatch};

/// Handles notices from other daemons.
pub struct PoisonHandler {
    watch: PoisonWatch,
}

impl PoisonHandler {
    /// Makes a handler that passes notices to `watch`.
    pub fn new(watch: PoisonWatch) -> Self {
        Self { watch }
    }
}

impl PeerHandler for PoisonHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let notice: PoisonNotice = decode(body)?;
            self.watch.record_notice(&notice).await;
            encode(&())
        })
    }
}
