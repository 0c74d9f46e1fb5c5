//! The life of one request as a state machine.

use crate::outcome::ErrorKind;

use super::{Action, AttemptFailure, ConnectionSource, Event, RetryPolicy, RetryReason};

/// Most attempts of one request that may end with the target lost, so that one arrival of a
/// request that crashes targets costs two of them at most.
const MAX_LOSSES: u32 = 2;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Picking,
    Connecting,
    Exchanging {
        reused: bool,
        written: bool,
    },
    /// The attempt is over; what the caller is told stands behind the refusal of a retry.
    Asking(ErrorKind),
    /// The attempt still stands, and goes on when the retry is refused.
    AskingSilent {
        reused: bool,
    },
    Relaying,
    Ended,
}

/// The life of one request, from the choice of a target to the end of the answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestStateMachine {
    policy: RetryPolicy,
    phase: Phase,
    attempts: u32,
    losses: u32,
    written_once: bool,
    may_have_run: bool,
    last_refusal: Option<ErrorKind>,
}

impl RequestStateMachine {
    /// Makes the machine of a request whose next action is [`Action::Pick`].
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            phase: Phase::Picking,
            attempts: 0,
            losses: 0,
            written_once: false,
            may_have_run: false,
            last_refusal: None,
        }
    }

    /// Tells whether a target may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the count of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Tells whether silence of the attempt in progress would lead to a retry.
    pub fn would_retry_on_silence(&self) -> bool {
        let written = matches!(self.phase, Phase::Exchanging { written: true, .. });
        written && self.policy.retry_on_silence && self.policy.repeatable && self.has_attempt_left()
    }

    /// Takes note of `event` and returns what the request needs next; none when the event
    /// cannot happen now, in which case nothing changes.
    pub fn step(&mut self, event: Event) -> Option<Action> {
        match event {
            Event::CallerDisconnected => return self.end(Action::Cancel),
            Event::DeadlinePassed => return self.deadline(),
            _ => {}
        }
        match (self.phase, event) {
            (Phase::Picking, Event::Picked) => self.connect(),
            (Phase::Picking, Event::NoTarget) => self.tell(self.not_picked(ErrorKind::NoTarget)),
            (Phase::Picking, Event::Overloaded) => {
                self.tell(self.not_picked(ErrorKind::Overloaded))
            }
            (Phase::Connecting, Event::Connected { reused }) => self.exchange(reused),
            (Phase::Connecting, Event::Failed(AttemptFailure::Connect)) => {
                self.fail(AttemptFailure::Connect, false, false)
            }
            (Phase::Exchanging { written: false, .. }, Event::SendRefused(kind)) => {
                self.tell(self.not_sent(kind))
            }
            (Phase::Exchanging { reused, .. }, Event::SendStarted) => self.written(reused),
            (Phase::Exchanging { written: true, .. }, Event::Informational) => {
                Some(Action::AwaitHead)
            }
            (Phase::Exchanging { written: true, .. }, Event::ResponseHead) => self.relay(),
            (
                Phase::Exchanging {
                    reused,
                    written: true,
                },
                Event::SilenceTimeout,
            ) => self.silent(reused),
            (Phase::Exchanging { reused, written }, Event::Failed(failure)) => {
                self.fail(failure, reused, written)
            }
            (Phase::Asking(_) | Phase::AskingSilent { .. }, Event::BudgetGranted) => self.retry(),
            (Phase::Asking(kind), Event::BudgetRefused) => self.tell(kind),
            (Phase::AskingSilent { reused }, Event::BudgetRefused) => self.written(reused),
            (Phase::Relaying, Event::ResponseEnded) => self.end(Action::Finish),
            (Phase::Relaying, Event::ResponseTruncated) => self.end(Action::AbortResponse),
            _ => None,
        }
    }

    fn connect(&mut self) -> Option<Action> {
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

    fn exchange(&mut self, reused: bool) -> Option<Action> {
        self.phase = Phase::Exchanging {
            reused,
            written: false,
        };
        Some(Action::Send)
    }

    fn written(&mut self, reused: bool) -> Option<Action> {
        self.written_once = true;
        self.phase = Phase::Exchanging {
            reused,
            written: true,
        };
        Some(Action::AwaitHead)
    }

    fn relay(&mut self) -> Option<Action> {
        self.may_have_run = true;
        self.phase = Phase::Relaying;
        Some(Action::Relay)
    }

    fn silent(&mut self, reused: bool) -> Option<Action> {
        if !self.would_retry_on_silence() {
            return Some(Action::AwaitHead);
        }
        self.phase = Phase::AskingSilent { reused };
        Some(Action::CheckBudget(RetryReason::SilentConnection))
    }

    fn retry(&mut self) -> Option<Action> {
        self.may_have_run |= self.is_written();
        self.phase = Phase::Picking;
        Some(Action::Pick)
    }

    fn fail(&mut self, failure: AttemptFailure, reused: bool, written: bool) -> Option<Action> {
        let ran = written && failure != AttemptFailure::Shed;
        self.may_have_run |= ran;
        self.losses += u32::from(ran);
        let kind = self.kind_of(failure);
        if !self.may_have_run {
            self.last_refusal = Some(kind);
        }
        if failure == AttemptFailure::Crashed || !self.may_retry() {
            return self.tell(kind);
        }
        self.phase = Phase::Asking(kind);
        Some(Action::CheckBudget(reason_of(failure, reused)))
    }

    fn may_retry(&self) -> bool {
        let safe = !self.may_have_run || self.policy.repeatable;
        safe && self.has_attempt_left() && self.losses < MAX_LOSSES
    }

    fn has_attempt_left(&self) -> bool {
        let body_at_hand = self.policy.replayable || !self.written_once;
        body_at_hand && self.attempts < self.policy.max_attempts
    }

    fn is_written(&self) -> bool {
        matches!(
            self.phase,
            Phase::Exchanging { written: true, .. } | Phase::AskingSilent { .. }
        )
    }

    fn deadline(&mut self) -> Option<Action> {
        self.may_have_run |= self.is_written();
        let kind = if self.may_have_run {
            ErrorKind::TargetTimeout
        } else {
            ErrorKind::DeadlineBeforeRun
        };
        match self.phase {
            Phase::Relaying => self.end(Action::AbortResponse),
            _ => self.tell(kind),
        }
    }

    fn tell(&mut self, kind: ErrorKind) -> Option<Action> {
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

    fn not_picked(&self, kind: ErrorKind) -> ErrorKind {
        if self.may_have_run {
            return ErrorKind::TargetLost;
        }
        self.last_refusal.unwrap_or(kind)
    }

    fn not_sent(&self, kind: ErrorKind) -> ErrorKind {
        if self.may_have_run {
            return ErrorKind::TargetLost;
        }
        kind
    }

    fn kind_of(&self, failure: AttemptFailure) -> ErrorKind {
        match (self.may_have_run, failure) {
            (true, AttemptFailure::Malformed) => ErrorKind::TargetMalformed,
            (true, _) => ErrorKind::TargetLost,
            (false, AttemptFailure::Shed) => ErrorKind::TargetShed,
            (false, _) => ErrorKind::ConnectFailed,
        }
    }
}

fn reason_of(failure: AttemptFailure, reused: bool) -> RetryReason {
    match failure {
        AttemptFailure::Connect => RetryReason::ConnectFailed,
        AttemptFailure::Shed => RetryReason::TargetShed,
        AttemptFailure::Lost if reused => RetryReason::StaleConnection,
        AttemptFailure::Lost | AttemptFailure::Crashed => RetryReason::TargetLost,
        AttemptFailure::Malformed => RetryReason::TargetMalformed,
    }
}
