//! Requests that the queue rejects.

use std::time::Duration;

use strum::{EnumCount, IntoStaticStr};

/// Why the queue rejected a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RejectionReason {
    /// The queue was full, and the request was the least urgent one.
    QueueFull,
    /// On arrival, its turn was not expected before its deadline.
    TurnTooLate,
    /// It waited until too little time was left before its deadline.
    Expired,
}

impl RejectionReason {
    /// Returns the name of the reason.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// The queue rejected a request, which was not sent to any target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRejection {
    /// Why it was rejected.
    pub reason: RejectionReason,
    /// Time until capacity for the rank of the request is expected.
    pub retry_after: Duration,
}
