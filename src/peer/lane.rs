//! Classes of messages that do not wait for each other.

use crate::metrics::Counter;

use super::MessageKind;

/// A class of messages; each has connections of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Lane {
    /// Questions that a caller's request waits for.
    Ask,
    /// Small messages of control.
    Control,
    /// Messages of any size.
    Bulk,
}

impl Lane {
    /// Returns the lane of a kind of messages.
    pub(super) fn of(kind: MessageKind) -> Self {
        match kind {
            MessageKind::Ask | MessageKind::Handover => Self::Ask,
            MessageKind::Heartbeat
            | MessageKind::Suspicion
            | MessageKind::Poison
            | MessageKind::Failure
            | MessageKind::Proof => Self::Control,
            MessageKind::Revision => Self::Bulk,
        }
    }

    /// Returns the counter of the lane's bytes.
    pub(super) fn counter(self) -> Counter {
        match self {
            Self::Ask => Counter::PeerAskBytes,
            Self::Control | Self::Bulk => Counter::PeerControlBytes,
        }
    }
}
