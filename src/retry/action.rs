//! Actions requested by the request state machine.

use crate::outcome::ErrorKind;

use super::RetryReason;

/// Which connections to a target may be used for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConnectionSource {
    /// Only a connection newly opened for this attempt.
    New,
    /// A pooled connection that was used moments ago if there is one, otherwise a new one.
    RecentOrNew,
    /// Any pooled connection if there is one, otherwise a new one.
    PooledOrNew,
}

/// The next action to perform for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Pick a target, preferring one that has not been tried yet.
    Pick,
    /// Obtain a connection to the picked target.
    Connect(ConnectionSource),
    /// Send the request; [`Event::SendStarted`](super::Event::SendStarted) must be reported before
    /// the first byte is written.
    Send,
    /// Wait for the response head.
    AwaitHead,
    /// Check whether the retry budget of the service allows a retry.
    CheckBudget(RetryReason),
    /// Relay the response to the caller.
    Relay,
    /// Respond to the caller with an error.
    RespondError(ErrorKind),
    /// Close the caller's connection in the middle of the response.
    AbortResponse,
    /// Close the connection to the target; the caller no longer waits for a response.
    Cancel,
    /// None: the response is complete.
    Finish,
}
