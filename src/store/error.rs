//! Errors of the store.

use std::fmt;

/// Why a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// No answer arrived; a write may have taken effect.
    NoAnswer,
    /// The answer could not be understood; a write may have taken effect.
    BadAnswer,
    /// The service refused the call; nothing took effect.
    Refused,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoAnswer => "no answer from the store",
            Self::BadAnswer => "unreadable answer from the store",
            Self::Refused => "refused by the store",
        })
    }
}

impl std::error::Error for StoreError {}
