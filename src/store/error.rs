//! Errors of the store.

use std::fmt;

/// Why a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// No response arrived; a write may have taken effect.
    NoAnswer,
    /// The response was malformed; a write may have taken effect.
    BadAnswer,
    /// The store rejected the call; nothing took effect.
    Refused,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoAnswer => "no response from the store",
            Self::BadAnswer => "malformed response from the store",
            Self::Refused => "call rejected by the store",
        })
    }
}

impl std::error::Error for StoreError {}
