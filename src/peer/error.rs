//! Errors of calls to other daemons.

use std::fmt;

/// Reason why a call to another daemon failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerError {
    /// No daemon with this host name is listed.
    UnknownPeer,
    /// The connection failed or no reply arrived in time; the message may have been handled.
    NoAnswer,
    /// The reply is not authenticated by the fleet secret, or cannot be decoded.
    BadAnswer,
    /// The message could not be encoded, or the other daemon refused it.
    Refused,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownPeer => "unknown peer",
            Self::NoAnswer => "no answer from the peer",
            Self::BadAnswer => "invalid answer from the peer",
            Self::Refused => "refused by the peer",
        })
    }
}

impl std::error::Error for PeerError {}
