//! One message between daemons.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};
use strum::IntoStaticStr;

/// Which part of a daemon handles a message.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MessageKind {
    /// Liveness and revisions.
    Heartbeat,
    /// Edits and snapshots of the lists.
    Revision,
    /// Tokens of a workspace's rate.
    Ask,
    /// Levels of buckets at a change of owner.
    Handover,
    /// Suspicions against targets.
    Suspicion,
    /// Requests that crash targets.
    Poison,
    /// Targets that break off work.
    Failure,
    /// Proofs of a fresh configuration.
    Proof,
}

/// One message or reply: its kind and its MessagePack body, whose type the kind's handler knows.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Which part of a daemon handles it.
    pub kind: MessageKind,
    /// Its body; none in a reply means that the message was refused.
    #[serde_as(as = "Option<Bytes>")]
    pub body: Option<Vec<u8>>,
}
