//! Why a claim was not given.

use crate::outcome::ErrorKind;

/// The earlier request that holds a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FirstRequest {
    /// Identity of the request.
    pub request_id: String,
    /// Status of its answer; none when its end is not known.
    pub status: Option<u16>,
}

/// Why a claim was not given.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ClaimRefusal {
    /// The table could not be written or read.
    Unavailable,
    /// The key was used with another request.
    Mismatch,
    /// An earlier request holds the claim.
    Held(FirstRequest),
}

impl ClaimRefusal {
    /// Returns the kind that the caller is told of.
    pub fn error_kind(&self) -> ErrorKind {
        match self {
            Self::Unavailable => ErrorKind::ClaimUnavailable,
            Self::Mismatch => ErrorKind::ClaimMismatch,
            Self::Held(first) if first.status.is_some() => ErrorKind::ClaimFinished,
            Self::Held(_) => ErrorKind::ClaimHeld,
        }
    }
}
