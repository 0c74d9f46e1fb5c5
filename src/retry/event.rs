//! What happened to a request.

use crate::outcome::ErrorKind;

use super::AttemptFailure;

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// A target was chosen.
    Picked,
    /// No target takes work.
    NoTarget,
    /// All targets are busy.
    Overloaded,
    /// The connection is there.
    Connected {
        /// Whether it carried a request before.
        reused: bool,
    },
    /// The request may no longer be sent, for this reason; it has not been written.
    SendRefused(ErrorKind),
    /// The first byte of the request is about to be written.
    SendStarted,
    /// An informational response arrived.
    Informational,
    /// The head of the target's answer arrived.
    ResponseHead,
    /// The attempt failed.
    Failed(AttemptFailure),
    /// Nothing arrived for longer than the service usually takes; the attempt still stands.
    SilenceTimeout,
    /// The budget grants the retry.
    BudgetGranted,
    /// The budget refuses the retry.
    BudgetRefused,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller went away, or broke off its body.
    CallerDisconnected,
    /// The answer was passed on to its end.
    ResponseEnded,
    /// The target failed inside the body of its answer.
    ResponseTruncated,
}
