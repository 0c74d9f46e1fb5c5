//! How an attempt ended without an answer.

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be opened.
    Connect,
    /// The target shed the request without running it.
    Shed,
    /// The connection closed or failed.
    Lost,
    /// No answer arrived before the deadline.
    Timeout,
    /// The answer was malformed.
    Malformed,
}

/// How an attempt ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptEnd {
    /// How it failed.
    pub failure: AttemptFailure,
    /// Whether a byte of the request may have reached the target.
    pub written: bool,
}
