//! State machine of one request.

use crate::outcome::ErrorKind;

use super::{Action, AttemptFailure, ConnectionSource, Event, RetryPolicy, RetryReason};

/// Maximum number of attempts of one request that may end with the target lost, so that a request
/// that crashes targets takes down at most two of them each time it is received.
const MAX_LOST_ATTEMPTS: u32 = 2;

/// Current phase of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Picking,
    Connecting,
    Exchanging {
        reused: bool,
        written: bool,
    },
    /// The attempt has ended; if the retry is denied, the caller receives this error.
    CheckingBudget(ErrorKind),
    /// The attempt is silent but still in progress; it continues if the retry is denied.
    CheckingBudgetWhileSilent {
        reused: bool,
    },
    /// The target answered with an error, which is relayed if the retry is denied.
    CheckingBudgetWithAnswer,
    Relaying,
    Ended,
}

/// State machine of one request, from picking a target to the end of the response.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestStateMachine {
    policy: RetryPolicy,
    phase: Phase,
    attempts: u32,
    lost_attempts: u32,
    written_once: bool,
    may_have_run: bool,
    last_not_run_error: Option<ErrorKind>,
}

impl RequestStateMachine {
    /// Creates the state machine of a request whose next action is [`Action::Pick`].
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            phase: Phase::Picking,
            attempts: 0,
            lost_attempts: 0,
            written_once: false,
            may_have_run: false,
            last_not_run_error: None,
        }
    }

    /// Returns whether a target may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns whether another attempt is within the maximum.
    pub fn has_attempt_left(&self) -> bool {
        self.attempts < self.policy.max_attempts
    }

    /// Returns whether silence of the current attempt would lead to a retry.
    pub fn would_retry_on_silence(&self) -> bool {
        let written = matches!(self.phase, Phase::Exchanging { written: true, .. });
        written && self.policy.retry_on_silence && self.policy.repeatable && self.can_send_again()
    }

    /// Applies `event` and returns the next action; returns `None` and leaves the state unchanged
    /// if the event is not valid in the current phase.
    pub fn step(&mut self, event: Event) -> Option<Action> {
        match event {
            Event::CallerDisconnected => return self.end(Action::Cancel),
            Event::DeadlinePassed => return self.on_deadline(),
            _ => {}
        }
        match (self.phase, event) {
            (Phase::Picking, Event::Picked) => self.on_picked(),
            (Phase::Picking, Event::NoTarget) => {
                self.respond_error(self.pick_error(ErrorKind::NoTarget))
            }
            (Phase::Picking, Event::Overloaded) => {
                self.respond_error(self.pick_error(ErrorKind::Overloaded))
            }
            (Phase::Picking, Event::Throttled) => {
                self.respond_error(self.send_error(ErrorKind::TargetsLimited))
            }
            (Phase::Connecting, Event::Connected { reused }) => self.on_connected(reused),
            (Phase::Connecting, Event::Failed(AttemptFailure::Connect)) => {
                self.on_failure(AttemptFailure::Connect, false, false)
            }
            (Phase::Exchanging { written: false, .. }, Event::SendRefused(kind)) => {
                self.respond_error(self.send_error(kind))
            }
            (Phase::Exchanging { written: false, .. }, Event::TargetWithdrawn) => {
                self.on_withdrawn()
            }
            (Phase::Exchanging { .. }, Event::UploadRefused(_)) => {
                // The target may act on the part of the body that it has received.
                self.may_have_run = true;
                self.respond_error(ErrorKind::UploadRefused)
            }
            (Phase::Exchanging { reused, .. }, Event::SendStarted) => self.on_send_started(reused),
            (Phase::Exchanging { written: true, .. }, Event::Informational) => {
                Some(Action::AwaitHead)
            }
            (Phase::Exchanging { written: true, .. }, Event::ResponseHead) => {
                self.on_response_head()
            }
            (Phase::Exchanging { written: true, .. }, Event::ErrorAnswer) => self.on_error_answer(),
            (
                Phase::Exchanging {
                    reused,
                    written: true,
                },
                Event::SilenceTimeout,
            ) => self.on_silence_timeout(reused),
            (Phase::Exchanging { written: true, .. }, Event::HedgeStarted)
                if self.has_attempt_left() =>
            {
                self.attempts += 1;
                Some(Action::AwaitHead)
            }
            (Phase::Exchanging { written: true, .. }, Event::OneFailed(failure)) => {
                self.count_failure(failure, true);
                Some(Action::AwaitHead)
            }
            (Phase::Exchanging { written: true, .. }, Event::HedgeTookOver { reused }) => {
                self.on_send_started(reused)
            }
            (Phase::Exchanging { reused, written }, Event::Failed(failure)) => {
                self.on_failure(failure, reused, written)
            }
            (
                Phase::CheckingBudget(_)
                | Phase::CheckingBudgetWhileSilent { .. }
                | Phase::CheckingBudgetWithAnswer,
                Event::BudgetGranted,
            ) => self.retry(),
            (Phase::CheckingBudget(kind), Event::BudgetRefused) => self.respond_error(kind),
            (Phase::CheckingBudgetWithAnswer, Event::BudgetRefused) => self.on_response_head(),
            (Phase::CheckingBudgetWhileSilent { reused }, Event::BudgetRefused) => {
                self.on_send_started(reused)
            }
            (Phase::Relaying, Event::ResponseEnded) => self.end(Action::Finish),
            (Phase::Relaying, Event::ResponseTruncated) => self.end(Action::AbortResponse),
            _ => None,
        }
    }

    fn on_picked(&mut self) -> Option<Action> {
        self.attempts += 1;
        self.phase = Phase::Connecting;
        let first = self.attempts == 1;
        Some(Action::Connect(if self.policy.repeatable && first {
            ConnectionSource::PooledOrNew
        } else if self.policy.trust_recent_connections && first {
            ConnectionSource::RecentOrNew
        } else {
            ConnectionSource::New
        }))
    }

    fn on_connected(&mut self, reused: bool) -> Option<Action> {
        self.phase = Phase::Exchanging {
            reused,
            written: false,
        };
        Some(Action::Send)
    }

    /// Picks another target; as nothing was sent to the former one, this is no further attempt.
    fn on_withdrawn(&mut self) -> Option<Action> {
        self.attempts = self.attempts.saturating_sub(1);
        self.phase = Phase::Picking;
        Some(Action::Pick)
    }

    fn on_send_started(&mut self, reused: bool) -> Option<Action> {
        self.written_once = true;
        self.phase = Phase::Exchanging {
            reused,
            written: true,
        };
        Some(Action::AwaitHead)
    }

    fn on_response_head(&mut self) -> Option<Action> {
        self.may_have_run = true;
        self.phase = Phase::Relaying;
        Some(Action::Relay)
    }

    fn on_error_answer(&mut self) -> Option<Action> {
        if !self.policy.repeatable || !self.can_send_again() {
            return self.on_response_head();
        }
        self.may_have_run = true;
        self.phase = Phase::CheckingBudgetWithAnswer;
        Some(Action::CheckBudget(RetryReason::TargetError))
    }

    fn on_silence_timeout(&mut self, reused: bool) -> Option<Action> {
        if !self.would_retry_on_silence() {
            return Some(Action::AwaitHead);
        }
        self.phase = Phase::CheckingBudgetWhileSilent { reused };
        Some(Action::CheckBudget(RetryReason::SilentConnection))
    }

    fn retry(&mut self) -> Option<Action> {
        self.may_have_run |= self.is_written();
        self.phase = Phase::Picking;
        Some(Action::Pick)
    }

    fn on_failure(
        &mut self,
        failure: AttemptFailure,
        reused: bool,
        written: bool,
    ) -> Option<Action> {
        self.count_failure(failure, written);
        let kind = self.error_kind(failure);
        if !self.may_have_run {
            self.last_not_run_error = Some(kind);
        }
        if failure == AttemptFailure::Crashed || !self.may_retry() {
            return self.respond_error(kind);
        }
        self.phase = Phase::CheckingBudget(kind);
        Some(Action::CheckBudget(retry_reason(failure, reused)))
    }

    fn count_failure(&mut self, failure: AttemptFailure, written: bool) {
        let may_have_run = written && failure != AttemptFailure::Shed;
        self.may_have_run |= may_have_run;
        self.lost_attempts += u32::from(may_have_run);
    }

    fn may_retry(&self) -> bool {
        let is_safe = !self.may_have_run || self.policy.repeatable;
        is_safe && self.can_send_again() && self.lost_attempts < MAX_LOST_ATTEMPTS
    }

    fn can_send_again(&self) -> bool {
        let body_available = self.policy.replayable || !self.written_once;
        body_available && self.has_attempt_left()
    }

    fn is_written(&self) -> bool {
        matches!(
            self.phase,
            Phase::Exchanging { written: true, .. } | Phase::CheckingBudgetWhileSilent { .. }
        )
    }

    fn on_deadline(&mut self) -> Option<Action> {
        self.may_have_run |= self.is_written();
        let kind = if self.may_have_run {
            ErrorKind::TargetTimeout
        } else {
            ErrorKind::DeadlineBeforeRun
        };
        match self.phase {
            Phase::Relaying => self.end(Action::AbortResponse),
            _ => self.respond_error(kind),
        }
    }

    fn respond_error(&mut self, kind: ErrorKind) -> Option<Action> {
        self.end(Action::RespondError(kind))
    }

    fn end(&mut self, action: Action) -> Option<Action> {
        if self.phase == Phase::Ended {
            return None;
        }
        self.may_have_run |= self.is_written() && action == Action::Cancel;
        self.phase = Phase::Ended;
        Some(action)
    }

    fn pick_error(&self, kind: ErrorKind) -> ErrorKind {
        if self.may_have_run {
            return ErrorKind::TargetLost;
        }
        self.last_not_run_error.unwrap_or(kind)
    }

    fn send_error(&self, kind: ErrorKind) -> ErrorKind {
        if self.may_have_run {
            return ErrorKind::TargetLost;
        }
        kind
    }

    fn error_kind(&self, failure: AttemptFailure) -> ErrorKind {
        match (self.may_have_run, failure) {
            (true, AttemptFailure::Malformed) => ErrorKind::TargetMalformed,
            (true, AttemptFailure::Ambiguous) => ErrorKind::TargetAmbiguous,
            (true, _) => ErrorKind::TargetLost,
            (false, AttemptFailure::Shed) => ErrorKind::TargetShed,
            (false, _) => ErrorKind::ConnectFailed,
        }
    }
}

fn retry_reason(failure: AttemptFailure, reused: bool) -> RetryReason {
    match failure {
        AttemptFailure::Connect => RetryReason::ConnectFailed,
        AttemptFailure::Shed => RetryReason::TargetShed,
        AttemptFailure::Lost if reused => RetryReason::StaleConnection,
        AttemptFailure::Lost | AttemptFailure::Crashed => RetryReason::TargetLost,
        AttemptFailure::Malformed => RetryReason::TargetMalformed,
        AttemptFailure::Ambiguous => RetryReason::TargetError,
    }
}
