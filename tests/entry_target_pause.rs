//! Targets that turn requests away and ask for a pause.

use std::{
    path::Path,
    thread::{scope, sleep},
    time::{Duration, Instant},
};

use standins::{EntryFleet, EntryTarget, TargetBehaviour};

/// Daemons of a fleet.
const DAEMONS: usize = 2;
/// Time after a refusal from which the pause binds.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// Most requests of one daemon in the rest of the pause.
const MAX_IN_PAUSE: usize = 2;
/// Longest time of a response to a request that is not run.
const MAX_REJECTION_TIME: Duration = Duration::from_millis(300);

/// Sends requests to all daemons for `duration`; returns status, time and `retry-after` of each.
fn load(fleet: &EntryFleet, duration: Duration) -> Vec<(u16, Duration, Option<String>)> {
    let end = Instant::now() + duration;
    let run = |i: usize| {
        let mut responses = Vec::new();
        while Instant::now() < end {
            let sent = Instant::now();
            let reply = fleet.request(i, "key-big", "GET", "/one/x", &format!("{i}-x"));
            let reply = reply.expect("a response");
            let retry_after = reply.header("retry-after").map(str::to_owned);
            responses.push((reply.status, sent.elapsed(), retry_after));
            sleep(Duration::from_millis(30));
        }
        responses
    };
    scope(|s| {
        let running: Vec<_> = (0..DAEMONS).map(|i| s.spawn(move || run(i))).collect();
        running
            .into_iter()
            .flat_map(|r| r.join().unwrap())
            .collect()
    })
}

/// Returns the most requests of one daemon between the settling time after a refusal and the end of
/// the pause that it asked for.
fn most_in_pause(target: &EntryTarget, pause: Duration) -> usize {
    let refusals = target.refusals();
    let in_pause = |from: &(String, Instant)| {
        let bound = from.1 + SETTLING_TIME..from.1 + pause;
        let same = refusals.iter().filter(|r| r.0 == from.0);
        same.filter(|r| bound.contains(&r.1)).count()
    };
    refusals.iter().map(in_pause).max().unwrap_or(0)
}

#[test]
fn target_gets_no_requests_during_the_pause_that_it_asked_for() {
    struct Case {
        retry_after: &'static [&'static str],
        /// The pause that binds; `None` if the value is unusable.
        pause: Option<Duration>,
    }
    let cases = [
        Case {
            retry_after: &["2"],
            pause: Some(Duration::from_secs(2)),
        },
        Case {
            retry_after: &["1.5"],
            pause: Some(Duration::from_millis(1500)),
        },
        Case {
            retry_after: &["100000000000000000000"],
            pause: Some(Duration::from_secs(60)),
        },
        Case {
            retry_after: &["1", "3"],
            pause: Some(Duration::from_secs(3)),
        },
        Case {
            retry_after: &["0"],
            pause: None,
        },
        Case {
            retry_after: &["-5"],
            pause: None,
        },
        Case {
            retry_after: &["Sun, 06 Nov 2094 08:49:37 GMT"],
            pause: None,
        },
        Case {
            retry_after: &["soon"],
            pause: None,
        },
    ];
    scope(|s| {
        for case in &cases {
            s.spawn(|| check(case.retry_after, case.pause));
        }
    });
}

fn check(retry_after: &[&str], pause: Option<Duration>) {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let fleet = EntryFleet::start(program, DAEMONS).expect("the fleet starts");
    let headers: Vec<_> = retry_after.iter().map(|v| ("retry-after", *v)).collect();
    let target = &fleet.targets[0];
    target.set_extra_headers(&headers);
    target.set_behaviour(TargetBehaviour::Sheds);
    let responses = load(&fleet, Duration::from_secs(5));
    assert!(
        !target.refusals().is_empty(),
        "{retry_after:?}: the target was not asked"
    );
    let most = most_in_pause(target, pause.unwrap_or_default());
    assert!(
        most <= MAX_IN_PAUSE,
        "{retry_after:?}: {most} requests in a pause"
    );
    if pause.is_some() {
        let answered = responses.iter().filter(|r| r.0 == 200).count();
        assert!(
            answered * 10 >= responses.len() * 9,
            "{retry_after:?}: {answered} answered"
        );
    } else {
        let refusals = target.refusals().len();
        assert!(
            refusals > 2 * DAEMONS,
            "{retry_after:?}: held back, {refusals} refusals"
        );
    }
}

#[test]
fn request_is_rejected_at_once_while_all_targets_pause() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let fleet = EntryFleet::start(program, DAEMONS).expect("the fleet starts");
    for target in &fleet.targets[..2] {
        target.set_extra_headers(&[("retry-after", "3")]);
        target.set_behaviour(TargetBehaviour::Sheds);
    }
    for i in 0..DAEMONS {
        for _ in 0..4 {
            let _ = fleet.request(i, "key-big", "GET", "/one/x", "first");
        }
    }
    for (status, took, retry_after) in load(&fleet, Duration::from_secs(1)) {
        assert_eq!(status, 503);
        assert!(took <= MAX_REJECTION_TIME, "took {took:?}");
        let wait_s: f64 = retry_after.expect("retry-after").parse().expect("a number");
        assert!(wait_s > 0.5 && wait_s <= 4.5, "retry after {wait_s} s");
    }
    for target in &fleet.targets[..2] {
        assert!(most_in_pause(target, Duration::from_secs(3)) <= MAX_IN_PAUSE);
        target.set_extra_headers(&[]);
        target.set_behaviour(TargetBehaviour::Answers);
    }
    sleep(Duration::from_secs(3));
    let reply = fleet
        .request(0, "key-big", "GET", "/one/x", "after")
        .expect("a response");
    assert_eq!(reply.status, 200, "after the pause");
}
