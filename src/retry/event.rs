//! Events reported to the request state machine.

use crate::outcome::ErrorKind;

use super::{AttemptFailure, UploadError};

/// An event in the life of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// A target was picked.
    Picked,
    /// No target accepts requests.
    NoTarget,
    /// All targets are busy.
    Overloaded,
    /// All targets limit their requests.
    Throttled,
    /// A connection is available.
    Connected {
        /// Whether the connection carried a request before.
        reused: bool,
    },
    /// The request may no longer be sent, for this reason; no byte has been written.
    SendRefused(ErrorKind),
    /// The picked target was excluded from requests before any byte was written.
    TargetWithdrawn,
    /// The body of the request must not be passed on any further, for this reason.
    UploadRefused(UploadError),
    /// The first byte of the request is about to be written.
    SendStarted,
    /// An informational response arrived.
    Informational,
    /// The head of the target's final response arrived.
    ResponseHead,
    /// The target answered with an error of its own, which is relayed unless another attempt may be
    /// made.
    ErrorAnswer,
    /// The attempt failed.
    Failed(AttemptFailure),
    /// The first byte of a second attempt, beside the one in progress, is about to be written.
    HedgeStarted,
    /// One of the two attempts failed in this way; the other one is still in progress.
    OneFailed(AttemptFailure),
    /// The second attempt takes the place of the first one, which has ended.
    HedgeTookOver {
        /// Whether the connection of the second attempt carried a request before.
        reused: bool,
    },
    /// Nothing arrived within the silence timeout of the service; the attempt is still in progress.
    SilenceTimeout,
    /// The retry budget allows the retry.
    BudgetGranted,
    /// The retry budget denies the retry.
    BudgetRefused,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller disconnected or did not complete its body.
    CallerDisconnected,
    /// The response was relayed to its end.
    ResponseEnded,
    /// The target failed in the middle of the response body.
    ResponseTruncated,
}
