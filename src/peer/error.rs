//! Errors of a call to another daemon.

use std::fmt;

/// Why a call to another daemon brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerError {
    /// No daemon of this name is listed.
    UnknownPeer,
    /// No connection, no answer, or none in time; the message may have been handled.
    NoAnswer,
    /// The answer does not prove the fleet secret, or cannot be decoded.
    BadAnswer,
    /// The other daemon does not handle the message.
    Refused,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownPeer => "unknown peer",
            Self::NoAnswer => "no answer from the peer",
            Self::BadAnswer => "bad answer from the peer",
            Self::Refused => "refused by the peer",
        })
    }
}

impl std::error::Error for PeerError {}
