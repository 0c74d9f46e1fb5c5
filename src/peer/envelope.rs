//! Messages between daemons.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};
use strum::IntoStaticStr;

/// Kind of a message, which determines its handler.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MessageKind {
    /// Liveness and revision numbers.
    Heartbeat,
    /// Edits and snapshots of the lists.
    Revision,
    /// Requests for tokens of a workspace's rate limit.
    Ask,
    /// Whether a daemon holds the slice of its data centre.
    SliceStatus,
    /// Token bucket levels at a change of owner.
    Handover,
    /// Targets suspected of being unhealthy.
    Suspicion,
    /// Requests that crash targets.
    Poison,
    /// Targets that abort requests they have started, and their recovery.
    Failure,
    /// Proofs that the configuration is fresh.
    Proof,
    /// Table changes that are too large for a proof.
    Changes,
    /// Requests for tokens of a limited target.
    Lend,
    /// Demand and load of a data centre's services.
    Admission,
}

/// One message or reply with a MessagePack body, whose type depends on the kind.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Kind of the message, which determines its handler.
    pub kind: MessageKind,
    /// The encoded body; `None` in a reply means that the message was refused.
    #[serde_as(as = "Option<Bytes>")]
    pub body: Option<Vec<u8>>,
}
