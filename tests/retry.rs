//! The request state machine against a reference implementation, and the retry budget.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    outcome::{ErrorKind, Outcome},
    retry::{
        Action, AttemptFailure, ConnectionSource, Event, FleetRetryLimit, RequestStateMachine,
        RetryBudget, RetryBudgetConfig, RetryPolicy,
    },
};
use quickcheck::{quickcheck, Arbitrary, Gen, TestResult};

/// The result of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptResult {
    NoTarget,
    NoConnection,
    Shed,
    Lost,
    Malformed,
    Ambiguous,
    Silence { answer_follows: bool },
    Deadline,
    CallerDisconnected,
    Answer,
}

/// One attempt of a scripted request.
#[derive(Debug, Clone, Copy)]
struct ScriptedAttempt {
    result: AttemptResult,
    pooled_connection: bool,
    budget_granted: bool,
}

impl Arbitrary for ScriptedAttempt {
    fn arbitrary(g: &mut Gen) -> Self {
        let results = [
            AttemptResult::NoTarget,
            AttemptResult::NoConnection,
            AttemptResult::NoConnection,
            AttemptResult::Shed,
            AttemptResult::Shed,
            AttemptResult::Lost,
            AttemptResult::Lost,
            AttemptResult::Malformed,
            AttemptResult::Ambiguous,
            AttemptResult::Silence {
                answer_follows: bool::arbitrary(g),
            },
            AttemptResult::Deadline,
            AttemptResult::CallerDisconnected,
            AttemptResult::Answer,
        ];
        Self {
            result: *g.choose(&results).expect("not empty"),
            pooled_connection: bool::arbitrary(g),
            budget_granted: u8::arbitrary(g) % 4 > 0,
        }
    }
}

/// How a request ended, and the number of targets that may have run it.
#[derive(Debug, PartialEq, Eq)]
struct RequestEnd {
    last_action: Action,
    attempts: u32,
    runs: u32,
}

/// Reference implementation, which evaluates the script step by step.
fn reference(policy: RetryPolicy, script: &[ScriptedAttempt]) -> Option<RequestEnd> {
    let mut runs = 0;
    let mut attempts = 0;
    let mut sent = false;
    let mut lost_attempts = 0;
    let mut last_error = None;
    for step in script {
        if step.result == AttemptResult::NoTarget {
            let kind = last_error.unwrap_or(ErrorKind::NoTarget);
            let kind = if runs > 0 {
                ErrorKind::TargetLost
            } else {
                kind
            };
            return Some(RequestEnd {
                last_action: Action::RespondError(kind),
                attempts,
                runs,
            });
        }
        attempts += 1;
        let end = |last_action, runs| {
            Some(RequestEnd {
                last_action,
                attempts,
                runs,
            })
        };
        sent |= step.result != AttemptResult::NoConnection;
        let can_retry = (policy.replayable || !sent) && attempts < policy.max_attempts;
        let kind = match step.result {
            AttemptResult::Answer => return end(Action::Relay, runs + 1),
            AttemptResult::CallerDisconnected => return end(Action::Cancel, runs + 1),
            AttemptResult::Deadline => {
                return end(Action::RespondError(ErrorKind::TargetTimeout), runs + 1)
            }
            AttemptResult::Silence { answer_follows } => {
                if can_retry && policy.repeatable && step.budget_granted {
                    runs += 1;
                    continue;
                }
                if answer_follows {
                    return end(Action::Relay, runs + 1);
                }
                return end(Action::RespondError(ErrorKind::TargetTimeout), runs + 1);
            }
            AttemptResult::NoConnection if runs == 0 => ErrorKind::ConnectFailed,
            AttemptResult::Shed if runs == 0 => ErrorKind::TargetShed,
            AttemptResult::Malformed => ErrorKind::TargetMalformed,
            AttemptResult::Ambiguous => ErrorKind::TargetAmbiguous,
            _ => ErrorKind::TargetLost,
        };
        if matches!(
            step.result,
            AttemptResult::Lost | AttemptResult::Malformed | AttemptResult::Ambiguous
        ) {
            runs += 1;
            lost_attempts += 1;
        }
        if runs == 0 {
            last_error = Some(kind);
        }
        let is_safe = runs == 0 || (policy.repeatable && lost_attempts < 2);
        if !(is_safe && can_retry && step.budget_granted) {
            return end(Action::RespondError(kind), runs);
        }
    }
    None
}

/// Runs the state machine on the same script.
fn run_machine(policy: RetryPolicy, script: &[ScriptedAttempt]) -> Option<RequestEnd> {
    let mut m = RequestStateMachine::new(policy);
    let mut action = Action::Pick;
    let mut attempts = script.iter();
    let mut current = attempts.next()?;
    let mut runs = 0;
    let mut silence_reported = false;
    loop {
        let event = match action {
            Action::Pick => {
                if m.attempts() > 0 {
                    current = attempts.next()?;
                }
                silence_reported = false;
                match current.result {
                    AttemptResult::NoTarget => Event::NoTarget,
                    _ => Event::Picked,
                }
            }
            Action::Connect(_) if current.result == AttemptResult::NoConnection => {
                Event::Failed(AttemptFailure::Connect)
            }
            Action::Connect(kind) => Event::Connected {
                reused: kind == ConnectionSource::PooledOrNew && current.pooled_connection,
            },
            Action::Send => {
                runs += u32::from(current.result != AttemptResult::Shed);
                Event::SendStarted
            }
            Action::AwaitHead => match current.result {
                AttemptResult::Shed => Event::Failed(AttemptFailure::Shed),
                AttemptResult::Lost => Event::Failed(AttemptFailure::Lost),
                AttemptResult::Malformed => Event::Failed(AttemptFailure::Malformed),
                AttemptResult::Ambiguous => Event::Failed(AttemptFailure::Ambiguous),
                AttemptResult::Silence { .. } if !silence_reported => {
                    silence_reported = true;
                    Event::SilenceTimeout
                }
                AttemptResult::Silence {
                    answer_follows: false,
                } => Event::DeadlinePassed,
                AttemptResult::Deadline => Event::DeadlinePassed,
                AttemptResult::CallerDisconnected => Event::CallerDisconnected,
                _ => Event::ResponseHead,
            },
            Action::CheckBudget(_) if current.budget_granted => Event::BudgetGranted,
            Action::CheckBudget(_) => Event::BudgetRefused,
            last_action => {
                return Some(RequestEnd {
                    last_action,
                    attempts: m.attempts(),
                    runs,
                })
            }
        };
        action = m.step(event).expect("the event is valid for the action");
    }
}

quickcheck! {
    fn machine_agrees_with_reference(
        repeatable: bool,
        replayable: bool,
        script: Vec<ScriptedAttempt>
    ) -> bool {
        let policy = RetryPolicy { repeatable, replayable, retry_on_silence: true, trust_recent_connections: false, max_attempts: 3 };
        run_machine(policy, &script) == reference(policy, &script)
    }

    fn not_run_is_reported_only_if_nothing_ran(
        repeatable: bool,
        replayable: bool,
        script: Vec<ScriptedAttempt>
    ) -> TestResult {
        let policy = RetryPolicy { repeatable, replayable, retry_on_silence: true, trust_recent_connections: false, max_attempts: 3 };
        let Some(end) = run_machine(policy, &script) else {
            return TestResult::discard();
        };
        let not_run = matches!(end.last_action, Action::RespondError(kind)
            if kind.response().outcome == Outcome::NotRun);
        let at_most_once = repeatable || end.runs <= 1;
        TestResult::from_bool(at_most_once && (!not_run || end.runs == 0))
    }

    fn retries_stay_within_ratio_and_floor(answered: Vec<bool>, gap_ms: u8) -> bool {
        let mut now = BootTime::from_duration(Duration::from_secs(5));
        let mut budget = RetryBudget::new(RetryBudgetConfig::default(), now);
        let (mut retries, mut answers, mut seconds) = (0.0, 0.0, 0.0);
        for ok in answered {
            now = now + Duration::from_millis(u64::from(gap_ms));
            seconds += f64::from(gap_ms) / 1000.0;
            if ok {
                budget.record_answer();
                answers += 1.0;
            } else if budget.try_withdraw(now) {
                retries += 1.0;
            }
        }
        retries <= 10.0 + 0.1 * answers + 0.1 * seconds + 1e-6
    }
}

/// One fleet before a service that sheds most of its requests at random.
struct SheddingService {
    daemons: usize,
    limit: FleetRetryLimit,
    /// Requests of each daemon.
    requests: u32,
}

const SHEDDING_SERVICES: [SheddingService; 3] = [
    SheddingService {
        daemons: 1,
        limit: FleetRetryLimit {
            ratio: 0.2,
            slack: 8.0,
        },
        requests: 5000,
    },
    SheddingService {
        daemons: 48,
        limit: FleetRetryLimit {
            ratio: 0.2,
            slack: 64.0,
        },
        requests: 60,
    },
    SheddingService {
        daemons: 123,
        limit: FleetRetryLimit {
            ratio: 0.2,
            slack: 204.0,
        },
        requests: 80,
    },
];

/// Guards against a fleet that leaves most of its allowed retries unused while a service sheds
/// requests at random, and against one that exceeds the limit.
#[test]
fn fleet_uses_its_retry_limit_while_a_service_sheds() {
    for case in &SHEDDING_SERVICES {
        let cfg = case.limit.budget(case.daemons);
        let now = BootTime::from_duration(Duration::from_secs(5));
        let mut retries = 0;
        for daemon in 0..case.daemons {
            let mut rng = fastrand::Rng::with_seed(daemon as u64);
            let mut budget = RetryBudget::new(cfg, now);
            for _ in 0..case.requests {
                budget.record_request();
                let is_shed = rng.f64() < 0.55;
                retries += u32::from(is_shed && budget.try_withdraw(now));
            }
        }
        let requests = f64::from(case.requests) * case.daemons as f64;
        let earned = case.limit.ratio * requests;
        let (retries, daemons) = (f64::from(retries), case.daemons);
        assert!(
            retries <= earned + case.limit.slack,
            "{daemons} daemons: {retries}"
        );
        assert!(retries >= 0.8 * earned, "{daemons} daemons: {retries}");
    }
}

#[test]
fn service_that_is_down_gets_at_most_a_tenth_more_attempts() {
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
fn invalid_events_leave_the_state_unchanged() {
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
fn request_that_crashes_targets_is_not_retried() {
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
