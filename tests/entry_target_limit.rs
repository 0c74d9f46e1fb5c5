//! Targets that name a limit on the requests of the whole fleet.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Mutex,
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use standins::{EntryFleet, EntryTarget, TargetBehaviour};

/// Daemons of a fleet.
const DAEMONS: usize = 8;
/// Time between two requests to one daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a target first named its limit from which the limit binds.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Longest time of a response to a request that is not run.
const MAX_REJECTION_TIME: Duration = Duration::from_millis(300);

/// Returns the maximum number of requests in one window at a target that names `limit_per_s`.
fn max_in_window(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns the largest number of requests in any window from `since` on.
fn most_in_window(target: &EntryTarget, since: Instant) -> usize {
    let runs = target.runs();
    let times: Vec<Instant> = runs
        .iter()
        .map(|r| r.arrived)
        .filter(|t| *t > since)
        .collect();
    let in_window = |from: &Instant| {
        let window = times
            .iter()
            .filter(|t| **t >= *from && **t < *from + WINDOW);
        window.count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

struct Response {
    status: u16,
    took: Duration,
    retry_after: Option<String>,
}

/// Sends requests for the service `one` to all daemons for `duration`.
fn load(fleet: &EntryFleet, duration: Duration) -> Vec<Response> {
    let stop = AtomicBool::new(false);
    let responses = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for i in 0..DAEMONS {
            let (stop, responses) = (&stop, &responses);
            scope.spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let (id, sent) = (format!("{i}-{n}"), Instant::now());
                    let reply = fleet.request(i, "key-big", "GET", "/one/x", &id);
                    let retry_after = reply.as_ref().ok().and_then(|r| r.header("retry-after"));
                    responses.lock().unwrap().push(Response {
                        status: reply.as_ref().map_or(0, |r| r.status),
                        took: sent.elapsed(),
                        retry_after: retry_after.map(str::to_owned),
                    });
                    sleep(REQUEST_INTERVAL);
                }
            });
        }
        sleep(duration);
        stop.store(true, Ordering::Relaxed);
    });
    responses.into_inner().unwrap()
}

struct Case {
    /// Limits that the targets `one-0` and `one-1` name.
    limits: [Option<f64>; 2],
    /// Minimum share of the requests that are answered.
    min_answered: f64,
}

#[test]
fn target_gets_no_more_requests_of_the_fleet_than_it_names() {
    let cases = [
        Case {
            limits: [Some(1.0), None],
            min_answered: 0.98,
        },
        Case {
            limits: [Some(5.7), None],
            min_answered: 0.98,
        },
        Case {
            limits: [Some(2.5), Some(4.0)],
            min_answered: 0.04,
        },
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(|| check(case));
        }
    });
}

fn check(case: &Case) {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let fleet = EntryFleet::start(program, DAEMONS).expect("the fleet starts");
    for (target, limit) in fleet.targets.iter().zip(case.limits) {
        if let Some(limit) = limit {
            target.set_extra_headers(&[("server-limit", &limit.to_string())]);
        }
    }
    let started = Instant::now();
    let responses = load(&fleet, SETTLING_TIME + WINDOW * 2);
    for (target, limit) in fleet.targets.iter().zip(case.limits) {
        let Some(limit) = limit else { continue };
        let most = most_in_window(target, started + SETTLING_TIME);
        assert!(
            most <= max_in_window(limit),
            "{} got {most} requests in a window, allowed {} at {limit} 1/s",
            target.id,
            max_in_window(limit)
        );
    }
    let answered = responses.iter().filter(|r| r.status == 200).count();
    let share = answered as f64 / responses.len() as f64;
    assert!(
        share >= case.min_answered,
        "{share} answered, limits {:?}",
        case.limits
    );
    for rejected in responses.iter().filter(|r| r.status != 200) {
        assert_eq!(rejected.status, 503, "limits {:?}", case.limits);
        assert!(
            rejected.took <= MAX_REJECTION_TIME,
            "took {:?}",
            rejected.took
        );
        assert!(rejected.retry_after.is_some(), "without retry-after");
    }
}

/// Numbers that are out of any range, or none.
const ODD_NUMBERS: [&str; 8] = [
    "1e-300", "4e-320", "1e-19", "1e300", "-1", "NaN", "inf", "0",
];

struct HeaderCase {
    name: &'static str,
    /// Text before the number.
    prefix: &'static str,
    behaviour: TargetBehaviour,
}

/// Headers of targets that daemons act on.
const HEADERS: [HeaderCase; 4] = [
    HeaderCase {
        name: "server-limit",
        prefix: "",
        behaviour: TargetBehaviour::Answers,
    },
    HeaderCase {
        name: "x-server-load",
        prefix: "1,1,",
        behaviour: TargetBehaviour::AnswersWithoutLoad,
    },
    HeaderCase {
        name: "retry-after",
        prefix: "",
        behaviour: TargetBehaviour::Sheds,
    },
    HeaderCase {
        name: "x-warmup-ms",
        prefix: "",
        behaviour: TargetBehaviour::Answers,
    },
];

/// Guards against the end of all daemons, and of the requests that they have under way, by a number
/// in a corrupt response of one service.
#[test]
fn odd_numbers_in_headers_of_targets_end_no_daemon() {
    for case in &HEADERS {
        thread::scope(|scope| {
            for number in ODD_NUMBERS {
                scope.spawn(move || check_odd_number(case, number));
            }
        });
    }
}

fn check_odd_number(case: &HeaderCase, number: &str) {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let mut fleet = EntryFleet::start(program, 3).expect("the fleet starts");
    let value = format!("{}{number}", case.prefix);
    let name = format!("{}: {value}", case.name);
    for target in fleet.targets.iter().filter(|t| t.service == "one") {
        target.set_behaviour(case.behaviour);
        target.set_extra_headers(&[(case.name, &value)]);
    }
    for n in 0..30 {
        let reply = fleet.request(n % 3, "key-big", "GET", "/one/x", "one");
        let reply = reply.unwrap_or_else(|e| panic!("{name}: no response: {e}"));
        assert!(
            [200, 503].contains(&reply.status),
            "{name}: {}",
            reply.status
        );
        let wait = reply.header("retry-after").unwrap_or("0");
        let wait_s: f64 = wait.parse().expect("a number");
        assert!((0.0..=900.0).contains(&wait_s), "{name}: {wait_s} s");
        let reply = fleet.request(n % 3, "key-big", "POST", "/two/x", "two");
        assert_eq!(reply.expect("a response").status, 200, "{name}");
    }
    for daemon in &mut fleet.daemons {
        assert!(daemon.is_running(), "{name}: {} ended", daemon.host);
    }
}

/// Share of the limits that a fleet with enough requests must use: each daemon asks two others for
/// a token, so that few are left.
const MIN_USED: f64 = 0.8;

#[test]
fn daemons_without_tokens_use_those_that_others_have_left() {
    let limits = [2.5, 4.0];
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let fleet = EntryFleet::start(program, DAEMONS).expect("the fleet starts");
    for (target, limit) in fleet.targets.iter().zip(limits) {
        target.set_extra_headers(&[("server-limit", &f64::to_string(&limit))]);
    }
    load(&fleet, SETTLING_TIME);
    // Two daemons get the requests, the others have the most of the tokens.
    let from = Instant::now();
    let end = from + WINDOW * 2;
    let mut answered = 0;
    while Instant::now() < end {
        for i in 0..2 {
            let reply = fleet.request(i, "key-big", "GET", "/one/x", "few");
            answered += usize::from(reply.expect("a response").status == 200);
        }
        sleep(REQUEST_INTERVAL / 2);
    }
    let used = answered as f64 / (end - from).as_secs_f64() / limits.iter().sum::<f64>();
    assert!(used >= MIN_USED, "{used} of the limits used");
    for (target, limit) in fleet.targets.iter().zip(limits) {
        let most = most_in_window(target, from);
        assert!(
            most <= max_in_window(limit),
            "{most} requests in a window at {}",
            target.id
        );
    }
}
