//! Messages about revisions between daemons.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};

use crate::{catalog::Edit, membership::Incarnation};

/// A message about edits or snapshots.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum RevisionCall {
    /// Passes new edits on, and asks who holds them.
    Spread(Spread),
    /// Asks for the edits behind a revision.
    EditsBehind(u64),
    /// Asks for a part of the snapshot; part 0 makes one if none is at hand.
    SnapshotPart(u32),
}

/// New edits on their way to a part of the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Spread {
    /// The edits, in order.
    pub(super) edits: Vec<Edit>,
    /// Revision that they lead to.
    pub(super) revision: u64,
    /// Daemons to pass them on to.
    pub(super) forward: Vec<PeerAddress>,
    /// Time in which the answer must come, ms.
    pub(super) limit_ms: u32,
}

/// Where a daemon is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PeerAddress {
    pub(super) host: String,
    pub(super) address: SocketAddr,
}

/// A daemon that holds the edits that were spread.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Holder {
    pub(super) incarnation: Incarnation,
    pub(super) host: String,
}

/// The answer to a message about edits or snapshots.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum RevisionReply {
    /// Who holds the edits.
    Holders(Vec<Holder>),
    /// Edits behind the revision asked for; none when they are no longer at hand.
    Edits(Option<Vec<Edit>>),
    /// A part of the snapshot.
    Part(SnapshotPart),
    /// There is no snapshot.
    Nothing,
}

/// A part of a snapshot.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct SnapshotPart {
    /// Revision before the snapshot was begun, the same in each part.
    pub(super) base: u64,
    /// Count of parts.
    pub(super) parts: u32,
    /// The part.
    #[serde_as(as = "Bytes")]
    pub(super) bytes: Vec<u8>,
}
