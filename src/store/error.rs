//! Errors of the platform's services.

use std::fmt;

/// Why a call to the platform failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformError {
    /// No answer arrived; a write may have taken effect.
    NoAnswer,
    /// The answer could not be understood; a write may have taken effect.
    BadAnswer,
    /// The service refused the call; nothing took effect.
    Refused,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoAnswer => "no answer from the platform",
            Self::BadAnswer => "unreadable answer from the platform",
            Self::Refused => "refused by the platform",
        })
    }
}

impl std::error::Error for PlatformError {}
