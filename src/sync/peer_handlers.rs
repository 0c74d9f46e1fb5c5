//! Handlers for other daemons' messages about revisions.

use std::rc::Rc;

use crate::{
    peer::{decode, encode, PeerHandler},
    store::BoxFuture,
};

use super::{
    messages::{RevisionCall, RevisionReply},
    replica::Replica,
    spread::handle_spread,
};

/// Maximum number of edits in one response.
const MAX_EDITS: usize = 200;

/// Handles messages about edits and snapshots.
pub struct RevisionHandler {
    replica: Rc<Replica>,
}

impl RevisionHandler {
    /// Creates the handler for `replica`.
    pub fn new(replica: Rc<Replica>) -> Self {
        Self { replica }
    }

    async fn respond(&self, from: &str, call: RevisionCall) -> RevisionReply {
        match call {
            RevisionCall::Spread(msg) => {
                RevisionReply::Holders(handle_spread(&self.replica, from, msg).await)
            }
            RevisionCall::EditsBehind(revision) => RevisionReply::Edits(self.edits_after(revision)),
            RevisionCall::SnapshotPart(index) => {
                let part = self.replica.snapshots.part(&self.replica, index).await;
                part.map_or(RevisionReply::Nothing, RevisionReply::Part)
            }
        }
    }

    fn edits_after(&self, revision: u64) -> Option<Vec<crate::catalog::Edit>> {
        if self.replica.held()? <= revision {
            return Some(Vec::new());
        }
        let log = self.replica.log.borrow();
        log.edits_after(revision, MAX_EDITS)
    }
}

impl PeerHandler for RevisionHandler {
    fn handle<'a>(&'a self, from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let call: RevisionCall = decode(body)?;
            encode(&self.respond(from, call).await)
        })
    }
}

/// Responds to heartbeat requests with the revision held and the heartbeats received.
pub struct HeartbeatHandler {
    replica: Rc<Replica>,
}

impl HeartbeatHandler {
    /// Creates the handler for `replica`.
    pub fn new(replica: Rc<Replica>) -> Self {
        Self { replica }
    }
}

impl PeerHandler for HeartbeatHandler {
    fn handle<'a>(&'a self, _: &'a str, _: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move { encode(&self.replica.heartbeat_report()?) })
    }
}
