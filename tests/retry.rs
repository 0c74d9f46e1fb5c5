//! The life of a request against a naive caller, and the bound on retries.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    outcome::{ErrorKind, Outcome},
    retry::{
        Action, AttemptFailure, ConnectionSource, Event, RequestStateMachine, RetryBudget,
        RetryBudgetConfig, RetryPolicy,
    },
};
use quickcheck::{quickcheck, Arbitrary, Gen, TestResult};

/// What one attempt meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Meets {
    NoTarget,
    NoConnection,
    Shed,
    Lost,
    Malformed,
    Silence { answer_follows: bool },
    Deadline,
    CallerGone,
    Answer,
}

/// One attempt of a script.
#[derive(Debug, Clone, Copy)]
struct Try {
    meets: Meets,
    kept_connection: bool,
    budget: bool,
}

impl Arbitrary for Try {
    fn arbitrary(g: &mut Gen) -> Self {
        let meets = [
            Meets::NoTarget,
            Meets::NoConnection,
            Meets::NoConnection,
            Meets::Shed,
            Meets::Shed,
            Meets::Lost,
            Meets::Lost,
            Meets::Malformed,
            Meets::Silence {
                answer_follows: bool::arbitrary(g),
            },
            Meets::Deadline,
            Meets::CallerGone,
            Meets::Answer,
        ];
        Self {
            meets: *g.choose(&meets).expect("not empty"),
            kept_connection: bool::arbitrary(g),
            budget: u8::arbitrary(g) % 4 > 0,
        }
    }
}

/// How a request ended, and how many targets may have run it.
#[derive(Debug, PartialEq, Eq)]
struct End {
    last: Action,
    attempts: u32,
    runs: u32,
}

/// Follows one request in the order in which a caller would do it by hand.
fn naive(facts: RetryPolicy, script: &[Try]) -> Option<End> {
    let mut runs = 0;
    let mut attempts = 0;
    let mut sent = false;
    let mut lost = 0;
    let mut refusal = None;
    for step in script {
        if step.meets == Meets::NoTarget {
            let kind = refusal.unwrap_or(ErrorKind::NoTarget);
            let kind = if runs > 0 {
                ErrorKind::TargetLost
            } else {
                kind
            };
            return Some(End {
                last: Action::RespondError(kind),
                attempts,
                runs,
            });
        }
        attempts += 1;
        let end = |last, runs| {
            Some(End {
                last,
                attempts,
                runs,
            })
        };
        sent |= step.meets != Meets::NoConnection;
        let may_again = (facts.replayable || !sent) && attempts < facts.max_attempts;
        let kind = match step.meets {
            Meets::Answer => return end(Action::Relay, runs + 1),
            Meets::CallerGone => return end(Action::Cancel, runs + 1),
            Meets::Deadline => {
                return end(Action::RespondError(ErrorKind::TargetTimeout), runs + 1)
            }
            Meets::Silence { answer_follows } => {
                if may_again && facts.repeatable && step.budget {
                    runs += 1;
                    continue;
                }
                if answer_follows {
                    return end(Action::Relay, runs + 1);
                }
                return end(Action::RespondError(ErrorKind::TargetTimeout), runs + 1);
            }
            Meets::NoConnection if runs == 0 => ErrorKind::ConnectFailed,
            Meets::Shed if runs == 0 => ErrorKind::TargetShed,
            Meets::Malformed => ErrorKind::TargetMalformed,
            _ => ErrorKind::TargetLost,
        };
        if matches!(step.meets, Meets::Lost | Meets::Malformed) {
            runs += 1;
            lost += 1;
        }
        if runs == 0 {
            refusal = Some(kind);
        }
        let safe = runs == 0 || (facts.repeatable && lost < 2);
        if !(safe && may_again && step.budget) {
            return end(Action::RespondError(kind), runs);
        }
    }
    None
}

/// Drives the machine through the same script.
fn machine(facts: RetryPolicy, script: &[Try]) -> Option<End> {
    let mut m = RequestStateMachine::new(facts);
    let mut action = Action::Pick;
    let mut tries = script.iter();
    let mut now = tries.next()?;
    let mut runs = 0;
    let mut asked = false;
    loop {
        let event = match action {
            Action::Pick => {
                if m.attempts() > 0 {
                    now = tries.next()?;
                }
                asked = false;
                match now.meets {
                    Meets::NoTarget => Event::NoTarget,
                    _ => Event::Picked,
                }
            }
            Action::Connect(_) if now.meets == Meets::NoConnection => {
                Event::Failed(AttemptFailure::Connect)
            }
            Action::Connect(kind) => Event::Connected {
                reused: kind == ConnectionSource::PooledOrNew && now.kept_connection,
            },
            Action::Send => {
                runs += u32::from(now.meets != Meets::Shed);
                Event::SendStarted
            }
            Action::AwaitHead => match now.meets {
                Meets::Shed => Event::Failed(AttemptFailure::Shed),
                Meets::Lost => Event::Failed(AttemptFailure::Lost),
                Meets::Malformed => Event::Failed(AttemptFailure::Malformed),
                Meets::Silence { .. } if !asked => {
                    asked = true;
                    Event::SilenceTimeout
                }
                Meets::Silence {
                    answer_follows: false,
                } => Event::DeadlinePassed,
                Meets::Deadline => Event::DeadlinePassed,
                Meets::CallerGone => Event::CallerDisconnected,
                _ => Event::ResponseHead,
            },
            Action::CheckBudget(_) if now.budget => Event::BudgetGranted,
            Action::CheckBudget(_) => Event::BudgetRefused,
            last => {
                return Some(End {
                    last,
                    attempts: m.attempts(),
                    runs,
                })
            }
        };
        action = m.step(event).expect("the event fits the action");
    }
}

quickcheck! {
    fn machine_does_what_a_naive_caller_does(
        repeatable: bool,
        replayable: bool,
        script: Vec<Try>
    ) -> bool {
        let facts = RetryPolicy { repeatable, replayable, retry_on_silence: true, trust_recent_connections: false, max_attempts: 3 };
        machine(facts, &script) == naive(facts, &script)
    }

    fn not_run_is_told_only_when_nothing_ran(
        repeatable: bool,
        replayable: bool,
        script: Vec<Try>
    ) -> TestResult {
        let facts = RetryPolicy { repeatable, replayable, retry_on_silence: true, trust_recent_connections: false, max_attempts: 3 };
        let Some(end) = machine(facts, &script) else {
            return TestResult::discard();
        };
        let not_run = matches!(end.last, Action::RespondError(kind)
            if kind.response().outcome == Outcome::NotRun);
        let once = repeatable || end.runs <= 1;
        TestResult::from_bool(once && (!not_run || end.runs == 0))
    }

    fn retries_stay_within_share_and_floor(answered: Vec<bool>, gap_ms: u8) -> bool {
        let mut now = BootTime::from_duration(Duration::from_secs(5));
        let mut budget = RetryBudget::new(RetryBudgetConfig::default(), now);
        let (mut retries, mut paid, mut seconds) = (0.0, 0.0, 0.0);
        for ok in answered {
            now = now + Duration::from_millis(u64::from(gap_ms));
            seconds += f64::from(gap_ms) / 1000.0;
            if ok {
                budget.deposit();
                paid += 1.0;
            } else if budget.try_withdraw(now) {
                retries += 1.0;
            }
        }
        retries <= 10.0 + 0.1 * paid + 0.1 * seconds + 1e-6
    }
}

#[test]
fn service_that_is_wholly_down_gets_at_most_a_tenth_more_attempts() {
    const REQUESTS: u32 = 1000;
    let mut now = BootTime::from_duration(Duration::from_secs(5));
    let mut budget = RetryBudget::new(RetryBudgetConfig::default(), now);
    let mut attempts = 0;
    for _ in 0..REQUESTS {
        now = now + Duration::from_millis(10);
        attempts += 1;
        for _ in 0..2 {
            attempts += u32::from(budget.try_withdraw(now));
        }
    }
    assert!(
        f64::from(attempts) <= 1.1 * f64::from(REQUESTS),
        "{attempts}"
    );
}

#[test]
fn events_that_cannot_happen_change_nothing() {
    struct Case {
        before: &'static [Event],
        event: Event,
    }
    let cases = [
        Case {
            before: &[],
            event: Event::ResponseHead,
        },
        Case {
            before: &[Event::Picked],
            event: Event::SendStarted,
        },
        Case {
            before: &[Event::Picked, Event::Connected { reused: false }],
            event: Event::ResponseHead,
        },
        Case {
            before: &[Event::NoTarget],
            event: Event::DeadlinePassed,
        },
        Case {
            before: &[Event::CallerDisconnected],
            event: Event::CallerDisconnected,
        },
    ];
    for case in cases {
        let mut m = RequestStateMachine::new(RetryPolicy {
            repeatable: true,
            replayable: true,
            retry_on_silence: true,
            trust_recent_connections: false,
            max_attempts: 3,
        });
        for event in case.before {
            assert!(m.step(*event).is_some(), "{:?}", case.before);
        }
        let unchanged = m.clone();
        assert_eq!(m.step(case.event), None, "{:?}", case.event);
        assert_eq!(m, unchanged, "{:?}", case.event);
    }
}

#[test]
fn request_that_crashes_targets_is_not_sent_again() {
    let mut m = RequestStateMachine::new(RetryPolicy {
        repeatable: true,
        replayable: true,
        retry_on_silence: true,
        trust_recent_connections: false,
        max_attempts: 3,
    });
    let before = [
        Event::Picked,
        Event::Connected { reused: false },
        Event::SendStarted,
    ];
    for event in before {
        assert!(m.step(event).is_some());
    }
    let action = m.step(Event::Failed(AttemptFailure::Crashed));
    assert_eq!(action, Some(Action::RespondError(ErrorKind::TargetLost)));
}
