//! How an attempt failed.

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// No connection could be opened.
    Connect,
    /// The target shed the request without running it.
    Shed,
    /// The connection closed or failed.
    Lost,
    /// The target died, and the request must not reach another one.
    Crashed,
    /// The answer was malformed.
    Malformed,
}
