//! Reasons for which an attempt fails.

/// The reason for which an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// No connection could be opened.
    Connect,
    /// The target shed the request without running it.
    Shed,
    /// The connection closed or failed.
    Lost,
    /// The target crashed, and the request must not be sent to another one.
    Crashed,
    /// The response was malformed.
    Malformed,
    /// The target refused the request without stating that it did not run it.
    Ambiguous,
}
