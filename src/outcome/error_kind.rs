//! The closed list of error kinds, and the response to each.

use http::StatusCode;
use strum::{EnumCount, EnumIter, IntoStaticStr};

use super::Outcome;

/// All reasons for which the proxy responds with an error of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed or ambiguous.
    BadRequest,
    /// The head exceeds its limit.
    HeadTooLarge,
    /// The head did not arrive in time.
    HeadTimeout,
    /// The body exceeds its limit.
    BodyTooLarge,
    /// The body did not arrive in time, or was truncated before any of it was forwarded.
    BodyIncomplete,
    /// The request carries no key.
    KeyMissing,
    /// The key is unknown or was withdrawn.
    KeyUnknown,
    /// The key appears in a part of the request that is forwarded to the target.
    KeyExposed,
    /// The workspace has no plan.
    PlanMissing,
    /// No route available to the plan matches the path.
    RouteClosed,
    /// The workspace exceeded its rate and burst.
    RateExceeded,
    /// The part of the fleet that accounts for the workspace's rate is unreachable.
    RateUnavailable,
    /// The daemon has not loaded a revision of the catalog yet, or may have lost contact with the
    /// fleet.
    NotReady,
    /// The daemon is shutting down.
    ShuttingDown,
    /// Too many connections are open.
    TooManyConnections,
    /// Too many requests are in flight.
    TooManyInFlight,
    /// Too many bytes of request bodies are buffered.
    BufferFull,
    /// The service has no target that currently accepts the request.
    NoTarget,
    /// All targets were busy for too long, or the queue for them was full.
    Overloaded,
    /// All targets limit the requests of the fleet or asked for a pause, and take none of this
    /// daemon now.
    TargetsLimited,
    /// No connection to a target could be opened.
    ConnectFailed,
    /// The targets shed the request.
    TargetShed,
    /// The deadline passed before any target may have run the request.
    DeadlineBeforeRun,
    /// The claim for the request could not be written.
    ClaimUnavailable,
    /// An earlier request with the same idempotency key is running or may have run.
    ClaimHeld,
    /// An earlier request with the same idempotency key was answered.
    ClaimFinished,
    /// The idempotency key was used with a different request.
    ClaimMismatch,
    /// Targets crashed while processing the request, which may yet turn out not to be the cause.
    CrashSuspected,
    /// Targets crashed while processing the request.
    CrashesTargets,
    /// The body was found to be unacceptable after parts of it had been forwarded to a target.
    UploadRefused,
    /// The target closed the connection or failed while processing the request.
    TargetLost,
    /// The target did not respond before the deadline.
    TargetTimeout,
    /// The target's response is malformed.
    TargetMalformed,
    /// The target refused the request, but may have run it.
    TargetAmbiguous,
}

/// The response to one error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Human-readable description.
    pub title: &'static str,
    /// Value of `retry-after` in seconds.
    pub retry_after_s: Option<u32>,
}

impl ErrorKind {
    /// Returns the name of the kind in responses, logs and counters.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Returns the response to this kind.
    pub fn response(self) -> ErrorResponse {
        use Outcome::{NotRun, Unknown};
        let (status, outcome, retry_after_s, title) = match self {
            Self::BadRequest => (400, NotRun, None, "the request is malformed or ambiguous"),
            Self::HeadTooLarge => (431, NotRun, None, "the request head is too large"),
            Self::HeadTimeout => (408, NotRun, None, "the request head did not arrive in time"),
            Self::BodyTooLarge => (413, NotRun, None, "the request body is too large"),
            Self::BodyIncomplete => (408, NotRun, None, "the request body did not arrive whole"),
            Self::KeyMissing => (401, NotRun, None, "a key is needed"),
            Self::KeyUnknown => (401, NotRun, None, "the key is not valid"),
            Self::KeyExposed => (
                400,
                NotRun,
                None,
                "the key may stand in its own header only",
            ),
            Self::PlanMissing => (403, NotRun, None, "the workspace has no plan"),
            Self::RouteClosed => (404, NotRun, None, "no route of the plan matches the path"),
            Self::RateExceeded => (429, NotRun, Some(1), "the workspace used up its rate"),
            Self::RateUnavailable => (503, NotRun, Some(1), "the rate cannot be checked now"),
            Self::NotReady => (503, NotRun, Some(1), "this host does not serve yet"),
            Self::ShuttingDown => (503, NotRun, Some(0), "this host is shutting down"),
            Self::TooManyConnections => (503, NotRun, Some(1), "too many connections"),
            Self::TooManyInFlight => (503, NotRun, Some(1), "too many requests in flight"),
            Self::BufferFull => (503, NotRun, Some(1), "too many request bodies are buffered"),
            Self::NoTarget => (503, NotRun, Some(1), "no target can take the request now"),
            Self::Overloaded => (503, NotRun, Some(1), "all targets are busy"),
            Self::TargetsLimited => (
                503,
                NotRun,
                Some(1),
                "the targets take no more requests now",
            ),
            Self::ConnectFailed => (503, NotRun, Some(1), "no target could be connected"),
            Self::TargetShed => (503, NotRun, Some(1), "the targets shed the request"),
            Self::DeadlineBeforeRun => (504, NotRun, Some(0), "the deadline passed before the run"),
            Self::ClaimUnavailable => (503, NotRun, Some(1), "the request cannot be claimed now"),
            Self::ClaimHeld => (
                409,
                NotRun,
                Some(1),
                "an earlier request with this idempotency key runs or may have run",
            ),
            Self::ClaimFinished => (
                409,
                NotRun,
                None,
                "an earlier request with this idempotency key was answered",
            ),
            Self::ClaimMismatch => (
                422,
                NotRun,
                None,
                "the idempotency key was used with another request",
            ),
            Self::CrashSuspected => (
                503,
                NotRun,
                Some(3),
                "targets died while they had this request",
            ),
            Self::CrashesTargets => (
                422,
                NotRun,
                Some(300),
                "targets died while they had this request",
            ),
            Self::UploadRefused => (
                400,
                Unknown,
                None,
                "the body was refused while it was sent on",
            ),
            Self::TargetLost => (502, Unknown, None, "the target failed during the request"),
            Self::TargetTimeout => (504, Unknown, None, "the target did not answer in time"),
            Self::TargetMalformed => (502, Unknown, None, "the target's answer is malformed"),
            Self::TargetAmbiguous => (
                502,
                Unknown,
                None,
                "the target refused the request, but may have run it",
            ),
        };
        ErrorResponse {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            outcome,
            title,
            retry_after_s,
        }
    }
}
