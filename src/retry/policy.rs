//! What is known of a request before its first attempt.

/// What is known of a request before its first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RetryPolicy {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether its whole body is at hand and can be sent again.
    pub replayable: bool,
    /// Whether another target is tried while one is silent, which breaks off its work.
    pub retry_on_silence: bool,
    /// Whether a connection that was used moments ago counts as alive for any request.
    pub trust_recent_connections: bool,
    /// Most attempts.
    pub max_attempts: u32,
}
