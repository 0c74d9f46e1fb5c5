//! Decision on hedged requests: whether a second attempt is sent, and which attempt wins.

mod hedge_fixture;

use std::time::Duration;

use chervillug::{
    outcome::ErrorKind,
    retry::{
        Action, Attempt, AttemptFailure, Event, Hedge, HedgeAction, HedgeConditions, HedgeEvent,
        HedgePolicy, HedgeRefusal, RequestStateMachine, RetryPolicy, RetryReason,
    },
};

use hedge_fixture::{ALLOWED, GOOD};

/// Guards against second attempts of requests that must run at most once, as on `unsafe` and
/// `upload` routes, and of bodies that cannot be sent again.
#[test]
fn requests_that_must_not_run_twice_are_never_hedged() {
    for bits in 0..8 {
        let policy = HedgePolicy {
            repeatable: bits & 1 != 0,
            is_get: bits & 2 != 0,
            replayable: bits & 4 != 0,
        };
        assert_eq!(
            Hedge::new(&policy).is_some(),
            policy == ALLOWED,
            "{policy:?}"
        );
    }
}

struct RefusalCase {
    conditions: HedgeConditions,
    refusal: Option<HedgeRefusal>,
}

/// Guards against second attempts that add load where there is no capacity for them, that cannot
/// be answered in time, or that exceed a limit.
#[test]
fn second_attempt_is_refused_for_each_reason() {
    let cases = [
        RefusalCase {
            conditions: GOOD,
            refusal: None,
        },
        RefusalCase {
            conditions: HedgeConditions {
                has_attempt_left: false,
                ..GOOD
            },
            refusal: Some(HedgeRefusal::NoAttemptLeft),
        },
        RefusalCase {
            conditions: HedgeConditions {
                is_admitted: false,
                ..GOOD
            },
            refusal: Some(HedgeRefusal::NotAdmitted),
        },
        RefusalCase {
            conditions: HedgeConditions {
                is_service_slow: true,
                ..GOOD
            },
            refusal: Some(HedgeRefusal::ServiceSlow),
        },
        RefusalCase {
            conditions: HedgeConditions {
                time_left: Duration::from_millis(10),
                ..GOOD
            },
            refusal: Some(HedgeRefusal::TooLate),
        },
        RefusalCase {
            conditions: HedgeConditions {
                is_budget_low: true,
                ..GOOD
            },
            refusal: Some(HedgeRefusal::BudgetLow),
        },
        RefusalCase {
            conditions: HedgeConditions {
                has_room: false,
                ..GOOD
            },
            refusal: Some(HedgeRefusal::LimitReached),
        },
    ];
    for case in &cases {
        assert_eq!(
            case.conditions.refusal(),
            case.refusal,
            "{:?}",
            case.conditions
        );
        let mut hedge = Hedge::new(&ALLOWED).expect("may be hedged");
        let action = hedge.step(HedgeEvent::DelayPassed(case.conditions));
        let expected = match case.refusal {
            Some(_) => HedgeAction::Await(Attempt::First),
            None => HedgeAction::PickSecond,
        };
        assert_eq!(action, Some(expected), "{:?}", case.conditions);
    }
}

struct RaceCase {
    name: &'static str,
    events: &'static [HedgeEvent],
    actions: &'static [Option<HedgeAction>],
}

/// Guards against a request that is answered twice or not at all, and against an attempt that
/// continues after the end of the request.
#[test]
fn one_attempt_wins_and_the_other_is_cancelled() {
    use Attempt::{First, Second};
    use HedgeAction::{Await, CancelAll, PickSecond, SendSecond, Use};
    use HedgeEvent::{
        Answered, CallerDisconnected, DeadlinePassed, DelayPassed, Failed, Picked, Refused,
    };
    const DELAY: HedgeEvent = DelayPassed(GOOD);
    let cases = [
        RaceCase {
            name: "first answers before the delay",
            events: &[Answered(First), DELAY],
            actions: &[Some(Use(First)), None],
        },
        RaceCase {
            name: "first answers while a target is picked",
            events: &[DELAY, Answered(First), Picked],
            actions: &[Some(PickSecond), Some(Use(First)), None],
        },
        RaceCase {
            name: "no target",
            events: &[
                DELAY,
                Refused(HedgeRefusal::NoTarget),
                DELAY,
                Answered(First),
            ],
            actions: &[Some(PickSecond), Some(Await(First)), None, Some(Use(First))],
        },
        RaceCase {
            name: "first wins",
            events: &[DELAY, Picked, Answered(First), Answered(Second)],
            actions: &[Some(PickSecond), Some(SendSecond), Some(Use(First)), None],
        },
        RaceCase {
            name: "second wins",
            events: &[DELAY, Picked, Answered(Second), Answered(First)],
            actions: &[Some(PickSecond), Some(SendSecond), Some(Use(Second)), None],
        },
        RaceCase {
            name: "second fails, first answers",
            events: &[DELAY, Picked, Failed(Second), DELAY, Answered(First)],
            actions: &[
                Some(PickSecond),
                Some(SendSecond),
                Some(Await(First)),
                None,
                Some(Use(First)),
            ],
        },
        RaceCase {
            name: "first fails, second answers",
            events: &[
                DELAY,
                Picked,
                Failed(First),
                Answered(First),
                Answered(Second),
            ],
            actions: &[
                Some(PickSecond),
                Some(SendSecond),
                Some(Await(Second)),
                None,
                Some(Use(Second)),
            ],
        },
        RaceCase {
            name: "both fail",
            events: &[DELAY, Picked, Failed(First), Failed(Second)],
            actions: &[
                Some(PickSecond),
                Some(SendSecond),
                Some(Await(Second)),
                Some(Use(Second)),
            ],
        },
        RaceCase {
            name: "caller disconnects during the race",
            events: &[DELAY, Picked, CallerDisconnected, Answered(Second)],
            actions: &[Some(PickSecond), Some(SendSecond), Some(CancelAll), None],
        },
        RaceCase {
            name: "caller disconnects while a target is picked",
            events: &[DELAY, CallerDisconnected, Picked],
            actions: &[Some(PickSecond), Some(CancelAll), None],
        },
        RaceCase {
            name: "deadline passes during the race",
            events: &[DELAY, Picked, DeadlinePassed],
            actions: &[Some(PickSecond), Some(SendSecond), Some(CancelAll)],
        },
        RaceCase {
            name: "second attempt without a delay",
            events: &[Picked, Answered(Second)],
            actions: &[None, None],
        },
    ];
    for case in &cases {
        let mut hedge = Hedge::new(&ALLOWED).expect("may be hedged");
        let actions: Vec<_> = case.events.iter().map(|e| hedge.step(*e)).collect();
        assert_eq!(actions, case.actions, "{}", case.name);
    }
}

struct AttemptsCase {
    name: &'static str,
    max_attempts: u32,
    events: &'static [Event],
    last: Option<Action>,
    attempts: u32,
    may_have_run: bool,
}

/// Guards against second attempts that do not count against the `attempts` of the route or against
/// the targets that one request may take down, and against a wrong report of what was executed.
#[test]
fn second_attempt_counts_as_an_attempt() {
    const SENT: [Event; 3] = [
        Event::Picked,
        Event::Connected { reused: false },
        Event::SendStarted,
    ];
    const TOOK_OVER: Event = Event::HedgeTookOver { reused: false };
    let cases = [
        AttemptsCase {
            name: "no attempt left",
            max_attempts: 1,
            events: &[Event::HedgeStarted],
            last: None,
            attempts: 1,
            may_have_run: false,
        },
        AttemptsCase {
            name: "retry after both were shed",
            max_attempts: 3,
            events: &[
                Event::HedgeStarted,
                Event::OneFailed(AttemptFailure::Shed),
                Event::Failed(AttemptFailure::Shed),
            ],
            last: Some(Action::CheckBudget(RetryReason::TargetShed)),
            attempts: 2,
            may_have_run: false,
        },
        AttemptsCase {
            name: "no retry after both were shed",
            max_attempts: 2,
            events: &[
                Event::HedgeStarted,
                Event::OneFailed(AttemptFailure::Shed),
                Event::Failed(AttemptFailure::Shed),
            ],
            last: Some(Action::RespondError(ErrorKind::TargetShed)),
            attempts: 2,
            may_have_run: false,
        },
        AttemptsCase {
            name: "both lost",
            max_attempts: 5,
            events: &[
                Event::HedgeStarted,
                Event::OneFailed(AttemptFailure::Lost),
                TOOK_OVER,
                Event::Failed(AttemptFailure::Lost),
            ],
            last: Some(Action::RespondError(ErrorKind::TargetLost)),
            attempts: 2,
            may_have_run: true,
        },
        AttemptsCase {
            name: "one lost, the other shed",
            max_attempts: 2,
            events: &[
                Event::HedgeStarted,
                Event::OneFailed(AttemptFailure::Lost),
                TOOK_OVER,
                Event::Failed(AttemptFailure::Shed),
            ],
            last: Some(Action::RespondError(ErrorKind::TargetLost)),
            attempts: 2,
            may_have_run: true,
        },
        AttemptsCase {
            name: "the second answers",
            max_attempts: 2,
            events: &[Event::HedgeStarted, TOOK_OVER, Event::ResponseHead],
            last: Some(Action::Relay),
            attempts: 2,
            may_have_run: true,
        },
        AttemptsCase {
            name: "deadline during the race",
            max_attempts: 2,
            events: &[Event::HedgeStarted, Event::DeadlinePassed],
            last: Some(Action::RespondError(ErrorKind::TargetTimeout)),
            attempts: 2,
            may_have_run: true,
        },
    ];
    for case in &cases {
        let mut machine = RequestStateMachine::new(RetryPolicy {
            repeatable: true,
            replayable: true,
            retry_on_silence: false,
            trust_recent_connections: true,
            max_attempts: case.max_attempts,
        });
        let events = SENT.iter().chain(case.events);
        let last = events.map(|e| machine.step(*e)).last().flatten();
        assert_eq!(last, case.last, "{}", case.name);
        assert_eq!(machine.attempts(), case.attempts, "{}", case.name);
        assert_eq!(machine.may_have_run(), case.may_have_run, "{}", case.name);
    }
}
