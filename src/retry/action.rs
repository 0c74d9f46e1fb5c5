//! What a request needs next.

use crate::outcome::ErrorKind;

use super::RetryReason;

/// Which connections to a target may carry a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConnectionSource {
    /// Only one that was opened for this attempt.
    New,
    /// One that was kept and used moments ago, if there is one.
    RecentOrNew,
    /// One that was kept, if there is one.
    PooledOrNew,
}

/// What a request needs next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Choose a target, another one than before where possible.
    Pick,
    /// Get a connection to the chosen target.
    Connect(ConnectionSource),
    /// Send the request; its first byte must be told before it is written.
    Send,
    /// Wait for the head of the answer.
    AwaitHead,
    /// Ask the budget of the service for one retry.
    CheckBudget(RetryReason),
    /// Pass the answer on to the caller.
    Relay,
    /// Tell the caller.
    RespondError(ErrorKind),
    /// Close the caller's connection inside the answer.
    AbortResponse,
    /// Close the connection to the target; nobody waits for the answer.
    Cancel,
    /// Nothing: the answer is whole.
    Finish,
}
