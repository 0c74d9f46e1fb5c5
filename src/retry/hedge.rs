//! Decision on the second attempt of one request, beside the first one.

use std::time::Duration;

use strum::IntoStaticStr;

/// One of the two attempts of a hedged request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Attempt {
    /// The attempt that was sent first.
    First,
    /// The attempt that was sent after the delay.
    Second,
}

impl Attempt {
    /// Returns the other attempt.
    pub fn other(self) -> Self {
        match self {
            Self::First => Self::Second,
            Self::Second => Self::First,
        }
    }

    /// Returns the name of the attempt in logs.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// The reason for which no second attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HedgeRefusal {
    /// The `attempts` of the route are used up.
    NoAttemptLeft,
    /// Admission rejects requests of this rank.
    NotAdmitted,
    /// The service is slow as a whole.
    ServiceSlow,
    /// Too little time is left before the deadline.
    TooLate,
    /// The retry budget is low.
    BudgetLow,
    /// The limit on hedged requests is reached.
    LimitReached,
    /// No other target has spare capacity and can be reached.
    NoTarget,
}

impl HedgeRefusal {
    /// Returns the name of the reason in logs.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// Properties of a request that decide whether it may be hedged at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgePolicy {
    /// Whether the route allows that the request runs more than once.
    pub repeatable: bool,
    /// Whether the method is GET.
    pub is_get: bool,
    /// Whether the whole body is buffered and can be sent again.
    pub replayable: bool,
}

impl HedgePolicy {
    /// Returns whether the request may be hedged.
    pub fn allows_hedging(&self) -> bool {
        self.repeatable && self.is_get && self.replayable
    }
}

/// What is known when the delay has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeConditions {
    /// Whether the `attempts` of the route allow another one.
    pub has_attempt_left: bool,
    /// Whether admission accepts requests of this rank.
    pub is_admitted: bool,
    /// Whether the service is slow as a whole.
    pub is_service_slow: bool,
    /// Time left before the deadline.
    pub time_left: Duration,
    /// Usual latency of the route.
    pub usual_latency: Duration,
    /// Whether the retry budget is low.
    pub is_budget_low: bool,
    /// Whether the limit on hedged requests has room for one more.
    pub has_room: bool,
}

impl HedgeConditions {
    /// Returns the first reason for which no second attempt is sent.
    pub fn refusal(&self) -> Option<HedgeRefusal> {
        let reasons = [
            (!self.has_attempt_left, HedgeRefusal::NoAttemptLeft),
            (!self.is_admitted, HedgeRefusal::NotAdmitted),
            (self.is_service_slow, HedgeRefusal::ServiceSlow),
            (self.time_left <= self.usual_latency, HedgeRefusal::TooLate),
            (self.is_budget_low, HedgeRefusal::BudgetLow),
            (!self.has_room, HedgeRefusal::LimitReached),
        ];
        let found = reasons.iter().find(|(applies, _)| *applies);
        found.map(|(_, reason)| *reason)
    }
}

/// An event while the response head of the first attempt is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeEvent {
    /// The delay passed without a response.
    DelayPassed(HedgeConditions),
    /// Another target with spare capacity was found, and the limits allowed the second attempt.
    Picked,
    /// The second attempt was refused after the delay.
    Refused(HedgeRefusal),
    /// A good response to this attempt arrived.
    Answered(Attempt),
    /// This attempt failed, or its response is an error.
    Failed(Attempt),
    /// The caller disconnected.
    CallerDisconnected,
    /// The deadline passed.
    DeadlinePassed,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeAction {
    /// Pick another target for the second attempt, while the first one continues.
    PickSecond,
    /// Send the second attempt, while the first one continues.
    SendSecond,
    /// Wait for the response of this attempt; there is no other one.
    Await(Attempt),
    /// Use the response of this attempt, or its failure if both failed; cancel the other one.
    Use(Attempt),
    /// Cancel all attempts.
    CancelAll,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The first attempt is in progress alone, and may be hedged.
    Waiting,
    Picking,
    /// Both attempts are in progress.
    Racing,
    /// Only this attempt is in progress, and no other one is sent.
    Alone(Attempt),
    Ended,
}

/// State machine of the two attempts of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hedge {
    phase: Phase,
}

impl Hedge {
    /// Creates the state machine of a request whose first attempt was sent; `None` if the request
    /// must not be hedged.
    pub fn new(policy: &HedgePolicy) -> Option<Self> {
        let hedge = Self {
            phase: Phase::Waiting,
        };
        policy.allows_hedging().then_some(hedge)
    }

    /// Applies `event` and returns the next action; returns `None` and leaves the state unchanged
    /// if the event is not valid in the current phase.
    pub fn step(&mut self, event: HedgeEvent) -> Option<HedgeAction> {
        let (phase, action) = match (self.phase, event) {
            (Phase::Ended, _) => return None,
            (_, HedgeEvent::CallerDisconnected | HedgeEvent::DeadlinePassed) => {
                (Phase::Ended, HedgeAction::CancelAll)
            }
            (Phase::Waiting, HedgeEvent::DelayPassed(conditions)) => match conditions.refusal() {
                Some(_) => await_alone(Attempt::First),
                None => (Phase::Picking, HedgeAction::PickSecond),
            },
            (Phase::Picking, HedgeEvent::Picked) => (Phase::Racing, HedgeAction::SendSecond),
            (Phase::Picking, HedgeEvent::Refused(_)) => await_alone(Attempt::First),
            (Phase::Racing, HedgeEvent::Answered(attempt)) => use_attempt(attempt),
            (Phase::Racing, HedgeEvent::Failed(attempt)) => await_alone(attempt.other()),
            (
                Phase::Waiting | Phase::Picking | Phase::Alone(Attempt::First),
                HedgeEvent::Answered(Attempt::First) | HedgeEvent::Failed(Attempt::First),
            ) => use_attempt(Attempt::First),
            (
                Phase::Alone(Attempt::Second),
                HedgeEvent::Answered(Attempt::Second) | HedgeEvent::Failed(Attempt::Second),
            ) => use_attempt(Attempt::Second),
            _ => return None,
        };
        self.phase = phase;
        Some(action)
    }
}

fn await_alone(attempt: Attempt) -> (Phase, HedgeAction) {
    (Phase::Alone(attempt), HedgeAction::Await(attempt))
}

fn use_attempt(attempt: Attempt) -> (Phase, HedgeAction) {
    (Phase::Ended, HedgeAction::Use(attempt))
}
