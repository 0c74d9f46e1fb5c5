//! The decision after a failed attempt.

use crate::outcome::ErrorKind;

use super::{AttemptEnd, AttemptFailure, RetryReason};

/// What is known about a request when an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptContext {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the whole body is still at hand.
    pub replayable: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether the deadline has passed.
    pub deadline_passed: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another target.
    Retry(RetryReason),
    /// Tell the caller.
    Tell(ErrorKind),
}

/// Decides what follows a failed attempt.
pub fn next_step(cx: &AttemptContext, end: &AttemptEnd) -> NextStep {
    let ran = may_have_run(end);
    let allowed = !ran || cx.repeatable;
    let possible = cx.replayable && cx.attempts < cx.max_attempts && !cx.deadline_passed;
    if allowed && possible {
        if let Some(reason) = retry_reason(end.failure) {
            return NextStep::Retry(reason);
        }
    }
    NextStep::Tell(error_kind(cx, end, ran))
}

/// Tells whether the target may have run the request.
pub fn may_have_run(end: &AttemptEnd) -> bool {
    end.written && end.failure != AttemptFailure::Shed && end.failure != AttemptFailure::Connect
}

fn retry_reason(failure: AttemptFailure) -> Option<RetryReason> {
    match failure {
        AttemptFailure::Connect => Some(RetryReason::ConnectFailed),
        AttemptFailure::Shed => Some(RetryReason::TargetShed),
        AttemptFailure::Lost | AttemptFailure::Malformed => Some(RetryReason::TargetLost),
        AttemptFailure::Timeout => None,
    }
}

fn error_kind(cx: &AttemptContext, end: &AttemptEnd, ran: bool) -> ErrorKind {
    if !ran && !cx.may_have_run {
        return match end.failure {
            AttemptFailure::Shed => ErrorKind::TargetShed,
            AttemptFailure::Timeout => ErrorKind::DeadlineBeforeRun,
            _ => ErrorKind::ConnectFailed,
        };
    }
    match end.failure {
        AttemptFailure::Timeout => ErrorKind::TargetTimeout,
        AttemptFailure::Malformed => ErrorKind::TargetMalformed,
        _ => ErrorKind::TargetLost,
    }
}
