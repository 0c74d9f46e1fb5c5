//! Reasons for refusing a claim.

use crate::outcome::ErrorKind;

/// The earlier request that holds a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FirstRequest {
    /// Identity of the request.
    pub request_id: String,
    /// Status of its response; `None` if its outcome is not known.
    pub status: Option<u16>,
}

/// The reason for refusing a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ClaimRefusal {
    /// The table could not be written or read.
    Unavailable,
    /// The idempotency key was used with a different request.
    Mismatch,
    /// An earlier request holds the claim.
    Held(FirstRequest),
}

impl ClaimRefusal {
    /// Returns the error kind that is reported to the caller.
    pub fn error_kind(&self) -> ErrorKind {
        match self {
            Self::Unavailable => ErrorKind::ClaimUnavailable,
            Self::Mismatch => ErrorKind::ClaimMismatch,
            Self::Held(first) if first.status.is_some() => ErrorKind::ClaimFinished,
            Self::Held(_) => ErrorKind::ClaimHeld,
        }
    }
}
