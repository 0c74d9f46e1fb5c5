//! Targets that send without end.

use std::{
    path::Path,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use standins::{EntryFleet, TargetBehaviour};

/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the route's timeout within which a request must have ended.
const MAX_OVERRUN: Duration = Duration::from_millis(500);

/// Time after which a request counts as endless itself.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a request to a target that behaves so; returns the status, 0 for a connection that ended
/// without a whole response, and the time until then.
///
/// # Panics
///
/// Panics if the request does not end.
fn ask(behaviour: TargetBehaviour) -> (u16, Duration) {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || tx.send(ask_and_wait(behaviour)));
    let ended = rx.recv_timeout(TEST_TIMEOUT);
    ended.unwrap_or_else(|_| panic!("{behaviour:?}: no end within {TEST_TIMEOUT:?}"))
}

fn ask_and_wait(behaviour: TargetBehaviour) -> (u16, Duration) {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let mut fleet = EntryFleet::start(program, 1).expect("the fleet starts");
    for target in &fleet.targets {
        target.set_behaviour(behaviour);
    }
    let sent = Instant::now();
    let reply = fleet.request(0, "key-big", "POST", "/two/x", "endless");
    let took = sent.elapsed();
    for target in &fleet.targets {
        target.set_behaviour(TargetBehaviour::Answers);
    }
    let next = fleet.request(0, "key-big", "GET", "/one/x", "next");
    assert!(
        next.is_ok_and(|r| r.status == 200 || r.status == 503),
        "{behaviour:?}: the next"
    );
    assert!(
        fleet.daemons[0].is_running(),
        "{behaviour:?}: the daemon ended"
    );
    let status = reply.map_or(0, |r| if r.complete { r.status } else { 0 });
    (status, took)
}

#[test]
fn endless_head_ends_with_the_request_at_the_latest() {
    for behaviour in [
        TargetBehaviour::EndlessHead,
        TargetBehaviour::EndlessInterimResponses,
    ] {
        let (status, took) = ask(behaviour);
        assert!(
            [502, 504].contains(&status),
            "{behaviour:?}: status {status}"
        );
        assert!(
            took <= ROUTE_TIMEOUT + MAX_OVERRUN,
            "{behaviour:?}: took {took:?}"
        );
    }
}

#[test]
fn endless_body_ends_with_the_request_and_does_not_look_whole() {
    let (status, took) = ask(TargetBehaviour::EndlessBody);
    assert_eq!(status, 0, "the response looks whole");
    assert!(took <= ROUTE_TIMEOUT + MAX_OVERRUN, "took {took:?}");
}
