//! Retry properties of a request.

/// Retry properties of a request, fixed before its first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RetryPolicy {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the whole body is buffered and can be sent again.
    pub replayable: bool,
    /// Whether a silent target is abandoned for another one, which aborts its work.
    pub retry_on_silence: bool,
    /// Whether a connection that was used moments ago is considered alive, even for requests that
    /// are not repeatable.
    pub trust_recent_connections: bool,
    /// Maximum number of attempts.
    pub max_attempts: u32,
}
