//! Message classes with separate connections.

use crate::metrics::Counter;

use super::MessageKind;

/// A class of messages with its own connections, so that classes do not block each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Lane {
    /// Messages on the critical path of a caller's request.
    Ask,
    /// Small control messages.
    Control,
    /// Messages of arbitrary size.
    Bulk,
}

impl Lane {
    /// Returns the lane for a message kind.
    pub(super) fn for_kind(kind: MessageKind) -> Self {
        match kind {
            MessageKind::Ask | MessageKind::Handover | MessageKind::Lend => Self::Ask,
            MessageKind::Heartbeat
            | MessageKind::SliceStatus
            | MessageKind::Suspicion
            | MessageKind::Poison
            | MessageKind::Failure
            | MessageKind::Proof
            | MessageKind::Admission => Self::Control,
            MessageKind::Revision | MessageKind::Changes => Self::Bulk,
        }
    }

    /// Returns the counter for bytes transferred on the lane.
    pub(super) fn counter(self) -> Counter {
        match self {
            Self::Ask => Counter::PeerAskBytes,
            Self::Control | Self::Bulk => Counter::PeerControlBytes,
        }
    }
}
