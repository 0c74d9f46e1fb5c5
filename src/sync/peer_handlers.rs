//! Answers to other daemons' messages about revisions.

use std::rc::Rc;

use crate::{
    peer::{decode, encode, PeerHandler},
    store::BoxFuture,
};

use super::{
    messages::{RevisionCall, RevisionReply},
    replica::Replica,
    spread::take_spread,
};

/// Most edits of one answer.
const MAX_EDITS: usize = 200;

/// Answers messages about edits and snapshots.
pub struct RevisionHandler {
    replica: Rc<Replica>,
}

impl RevisionHandler {
    /// Makes the handler of `replica`.
    pub fn new(replica: Rc<Replica>) -> Self {
        Self { replica }
    }

    async fn answer(&self, from: &str, call: RevisionCall) -> RevisionReply {
        match call {
            RevisionCall::Spread(msg) => {
                RevisionReply::Holders(take_spread(&self.replica, from, msg).await)
            }
            RevisionCall::EditsBehind(revision) => RevisionReply::Edits(self.edits(revision)),
            RevisionCall::SnapshotPart(index) => {
                let part = self.replica.snapshots.part(&self.replica, index).await;
                part.map_or(RevisionReply::Nothing, RevisionReply::Part)
            }
        }
    }

    fn edits(&self, behind: u64) -> Option<Vec<crate::catalog::Edit>> {
        if self.replica.held()? <= behind {
            return Some(Vec::new());
        }
        self.replica.log.borrow().behind(behind, MAX_EDITS)
    }
}

impl PeerHandler for RevisionHandler {
    fn handle<'a>(&'a self, from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let call: RevisionCall = decode(body)?;
            encode(&self.answer(from, call).await)
        })
    }
}

/// Answers questions for the revision held and for whom this daemon heard.
pub struct HeartbeatHandler {
    replica: Rc<Replica>,
}

impl HeartbeatHandler {
    /// Makes the handler of `replica`.
    pub fn new(replica: Rc<Replica>) -> Self {
        Self { replica }
    }
}

impl PeerHandler for HeartbeatHandler {
    fn handle<'a>(&'a self, _: &'a str, _: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move { encode(&self.replica.report()?) })
    }
}
