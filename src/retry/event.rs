//! What happened to a request.

use super::Failure;

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
    /// The first byte of the request is about to be written.
    Written,
    /// An informational response arrived.
    Informational,
    /// The head of the target's answer arrived.
    Head,
    /// The attempt failed.
    Failed(Failure),
    /// Nothing arrived for longer than the service usually takes; the attempt still stands.
    Silent,
    /// The budget grants the retry.
    BudgetGranted,
    /// The budget refuses the retry.
    BudgetRefused,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller went away, or broke off its body.
    CallerGone,
    /// The answer was passed on to its end.
    BodyEnded,
    /// The target failed inside the body of its answer.
    BodyCutOff,
}
