//! Peer messages about edits and snapshots.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};

use crate::{catalog::Edit, membership::Incarnation};

/// A message about edits or snapshots.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum RevisionCall {
    /// Sends new edits, and asks which daemons hold them.
    Spread(Spread),
    /// Asks for the edits after a revision.
    EditsBehind(u64),
    /// Asks for a part of the snapshot; part 0 takes one if none is cached.
    SnapshotPart(u32),
}

/// New edits, sent along a tree to a part of the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Spread {
    /// The edits, in order.
    pub(super) edits: Vec<Edit>,
    /// Revision that they lead to.
    pub(super) revision: u64,
    /// Daemons to which the receiver forwards the edits.
    pub(super) forward: Vec<PeerAddress>,
    /// Timeout for the response, ms.
    pub(super) limit_ms: u32,
}

/// The address of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PeerAddress {
    pub(super) host: String,
    pub(super) address: SocketAddr,
}

/// A daemon that holds the edits that were sent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Holder {
    pub(super) incarnation: Incarnation,
    pub(super) host: String,
}

/// The response to a message about edits or snapshots.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum RevisionReply {
    /// The daemons that hold the edits.
    Holders(Vec<Holder>),
    /// Edits after the requested revision; `None` if they are no longer in the log.
    Edits(Option<Vec<Edit>>),
    /// A part of the snapshot.
    Part(SnapshotPart),
    /// No snapshot is available.
    Nothing,
}

/// A part of a snapshot.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct SnapshotPart {
    /// Revision at the start of the snapshot, the same in each part.
    pub(super) base: u64,
    /// Number of parts.
    pub(super) parts: u32,
    /// The encoded part.
    #[serde_as(as = "Bytes")]
    pub(super) bytes: Vec<u8>,
}
