//! What a request needs next.

use crate::outcome::ErrorKind;

use super::RetryReason;

/// Which connections to a target may carry a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConnectionKind {
    /// Only one that was opened for this attempt.
    Fresh,
    /// One that was kept and used moments ago, if there is one.
    RecentOrFresh,
    /// One that was kept, if there is one.
    KeptOrFresh,
}

/// What a request needs next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Choose a target, another one than before where possible.
    Pick,
    /// Get a connection to the chosen target.
    Connect(ConnectionKind),
    /// Send the request; its first byte must be told before it is written.
    Send,
    /// Wait for the head of the answer.
    AwaitHead,
    /// Ask the budget of the service for one retry.
    AskBudget(RetryReason),
    /// Pass the answer on to the caller.
    Relay,
    /// Tell the caller.
    Tell(ErrorKind),
    /// Close the caller's connection inside the answer.
    CutOff,
    /// Close the connection to the target; nobody waits for the answer.
    Cancel,
    /// Nothing: the answer is whole.
    Finish,
}
