//! Hedged requests, on the users' platform with real processes.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use serde_json::json;
use standins::{Client, EntryFleet, EntryTarget, TargetBehaviour};

/// Timeout of the callers.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// What targets do otherwise. The delay of a second attempt is twice this time or more; with targets
/// that take 5 ms, a busy machine delays responses beyond it.
const USUAL: TargetBehaviour = TargetBehaviour::AnswersAfter(Duration::from_millis(30));
/// Time that a slow target takes.
const SLOW: Duration = Duration::from_millis(700);
/// Longest time of a response to a hedged request, most of which is the delay.
const MAX_HEDGED_TIME: Duration = Duration::from_millis(350);
/// Time in which a daemon sends no second attempts after its first request.
const START_PAUSE: Duration = Duration::from_secs(10);

fn start(hedging: Option<f64>) -> EntryFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let mut more = json!({"retry_ratio": 0.2, "retry_slack": 20});
    if let Some(share) = hedging {
        more["hedging"] = json!(share);
    }
    let fleet = EntryFleet::start_with(program, 1, &more).expect("the fleet starts");
    for target in &fleet.targets {
        target.set_behaviour(USUAL);
    }
    fleet
}

fn connect(fleet: &EntryFleet) -> Client {
    Client::connect(fleet.daemons[0].caller_address, REPLY_TIMEOUT).expect("opens")
}

fn head(method: &str, path: &str, id: &str) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nauthorization: Token key-big\r\n\
         x-request-id: {id}\r\nx-deadline-ms: 3000\r\n\r\n"
    );
    head.into_bytes()
}

fn counter(fleet: &EntryFleet, name: &str) -> u64 {
    let address = fleet.daemons[0].ready_address;
    let reply = Client::send_once(address, "GET", "/metrics", &[], b"").expect("metrics");
    let text = reply.text();
    let prefix = format!("chervillug_{name} ");
    let line = text.lines().find(|l| l.starts_with(&prefix));
    let line = line.unwrap_or_else(|| panic!("{name} is missing from {text}"));
    line[prefix.len()..].trim().parse().expect("a number")
}

/// Sends requests that are answered in time, on both routes.
fn warm_up(fleet: &EntryFleet, time: Duration) {
    let (mut client, end) = (connect(fleet), Instant::now() + time);
    for n in 0.. {
        if Instant::now() > end {
            return;
        }
        let path = if n % 3 == 2 { "/two/x" } else { "/one/x" };
        let id = format!("warm-{n}-{}", time.as_millis());
        client.write(&head("GET", path, &id)).expect("is sent");
        assert_eq!(client.read_reply("GET").expect("a response").status, 200);
        sleep(Duration::from_millis(10));
    }
}

fn set_behaviour(fleet: &EntryFleet, service: &str, behaviour: TargetBehaviour) {
    for target in fleet.targets.iter().filter(|t| t.service == service) {
        target.set_behaviour(behaviour);
    }
}

fn targets_with<'a>(fleet: &'a EntryFleet, id: &str) -> Vec<&'a EntryTarget> {
    let has_run = |t: &&EntryTarget| t.runs().iter().any(|run| run.request_id == id);
    fleet.targets.iter().filter(has_run).collect()
}

/// Waits until `count` targets run the request `id`; returns whether they do.
fn wait_for_runs(fleet: &EntryFleet, id: &str, count: usize) -> bool {
    let end = Instant::now() + SLOW;
    while targets_with(fleet, id).len() < count {
        if Instant::now() > end {
            return false;
        }
        sleep(Duration::from_millis(2));
    }
    true
}

/// Sends a request while the first target that gets it answers late and all others in time. Returns
/// the time to the response.
fn send_to_slow_target(fleet: &EntryFleet, method: &str, path: &str, id: &str) -> Duration {
    let service = &path[1..4];
    set_behaviour(fleet, service, TargetBehaviour::AnswersAfter(SLOW));
    let mut client = connect(fleet);
    let sent = Instant::now();
    client.write(&head(method, path, id)).expect("is sent");
    assert!(wait_for_runs(fleet, id, 1), "{id} is not sent");
    set_behaviour(fleet, service, USUAL);
    let reply = client.read_reply(method).expect("a response");
    let took = sent.elapsed();
    assert_eq!(reply.status, 200, "{id}");
    took
}

/// Guards against a request that waits for a slow target while another one is idle, against second
/// attempts of requests that must run at most once, and against attempts that go on for a caller
/// that has disconnected.
#[test]
fn request_to_a_slow_target_is_answered_by_another_one() {
    let fleet = start(Some(0.2));
    warm_up(&fleet, START_PAUSE + Duration::from_secs(1));
    // A request of the warm-up may be late by chance, and is hedged then.
    let (sent, won) = (
        counter(&fleet, "hedges_sent"),
        counter(&fleet, "hedges_won"),
    );
    let took = send_to_slow_target(&fleet, "GET", "/one/x", "late");
    println!("answered after {took:?}");
    assert!(took < MAX_HEDGED_TIME, "{took:?}");
    assert_eq!(targets_with(&fleet, "late").len(), 2);
    assert_eq!(counter(&fleet, "hedges_sent"), sent + 1);
    assert_eq!(counter(&fleet, "hedges_won"), won + 1);
    let log = fleet.daemons[0].log();
    for text in ["second attempt sent", "one of two attempts ended"] {
        let line = log.lines().find(|l| l.contains(text) && l.contains("late"));
        assert!(line.is_some(), "no line {text:?}");
    }

    for (method, path, id) in [
        ("GET", "/two/x", "unsafe"),
        ("POST", "/one/x", "post"),
        ("DELETE", "/two/x", "delete"),
    ] {
        warm_up(&fleet, Duration::from_millis(300));
        let sent = counter(&fleet, "hedges_sent");
        let took = send_to_slow_target(&fleet, method, path, id);
        assert!(took >= SLOW, "{id}: {took:?}");
        assert_eq!(fleet.run_count(id), 1, "{id}");
        assert_eq!(counter(&fleet, "hedges_sent"), sent, "{id}");
    }

    warm_up(&fleet, Duration::from_millis(500));
    let (won, failed) = (
        counter(&fleet, "hedges_won"),
        counter(&fleet, "hedges_failed"),
    );
    set_behaviour(&fleet, "one", TargetBehaviour::AnswersAfter(SLOW));
    let mut client = connect(&fleet);
    client
        .write(&head("GET", "/one/x", "gone"))
        .expect("is sent");
    assert!(wait_for_runs(&fleet, "gone", 2), "not hedged");
    let left = Instant::now();
    drop(client);
    let is_logged = || {
        let log = fleet.daemons[0].log();
        log.lines()
            .any(|l| l.contains("caller disconnected") && l.contains("gone"))
    };
    while !is_logged() {
        assert!(left.elapsed() < SLOW / 2, "the attempts go on");
        sleep(Duration::from_millis(5));
    }
    assert_eq!(counter(&fleet, "hedges_won"), won);
    assert_eq!(counter(&fleet, "hedges_failed"), failed);
}

struct RaceCase {
    name: &'static str,
    first: TargetBehaviour,
    second: TargetBehaviour,
    status: u16,
    /// Range of the time to the response.
    min: Duration,
    max: Duration,
    /// Whether the second attempt failed.
    failed: u64,
}

/// Guards against a failure of one attempt that ends the request or hides the response to the other
/// one, and against an error of a target that waits long for a better response.
#[test]
fn request_survives_the_failure_of_one_attempt() {
    const fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }
    // The last case opens the breaker of a target, so that nothing is hedged after it.
    let cases = [
        RaceCase {
            name: "the second is answered with an error",
            first: TargetBehaviour::AnswersAfter(ms(300)),
            second: TargetBehaviour::Fails,
            status: 200,
            min: ms(300),
            max: ms(600),
            failed: 1,
        },
        RaceCase {
            name: "the first is answered with an error",
            first: TargetBehaviour::FailsAfter(ms(200)),
            second: TargetBehaviour::AnswersAfter(SLOW),
            status: 500,
            min: ms(200),
            max: ms(500),
            failed: 1,
        },
        RaceCase {
            name: "the first is lost",
            first: TargetBehaviour::ClosesAfter(ms(200)),
            second: TargetBehaviour::AnswersAfter(ms(400)),
            status: 200,
            min: ms(400),
            max: ms(700),
            failed: 0,
        },
    ];
    let fleet = start(Some(0.2));
    warm_up(&fleet, START_PAUSE + Duration::from_secs(1));
    for (n, case) in cases.iter().enumerate() {
        // Requests in time, so that the service does not count as slow.
        warm_up(&fleet, ms(500 + n as u64));
        let failed = counter(&fleet, "hedges_failed");
        set_behaviour(&fleet, "one", case.first);
        let (mut client, id) = (connect(&fleet), format!("race-{n}"));
        let sent = Instant::now();
        client.write(&head("GET", "/one/x", &id)).expect("is sent");
        assert!(wait_for_runs(&fleet, &id, 1), "{}", case.name);
        set_behaviour(&fleet, "one", case.second);
        let reply = client.read_reply("GET").expect("a response");
        let took = sent.elapsed();
        set_behaviour(&fleet, "one", USUAL);
        println!("{}: {} after {took:?}", case.name, reply.status);
        assert_eq!(reply.status, case.status, "{}", case.name);
        assert!(
            took >= case.min && took < case.max,
            "{}: {took:?}",
            case.name
        );
        assert_eq!(fleet.run_count(&id), 2, "{}", case.name);
        let gained = counter(&fleet, "hedges_failed") - failed;
        assert_eq!(gained, case.failed, "{}", case.name);
    }
}

/// Guards against second attempts without the setting.
#[test]
fn nothing_is_hedged_without_the_setting() {
    let fleet = start(None);
    warm_up(&fleet, START_PAUSE + Duration::from_secs(1));
    let took = send_to_slow_target(&fleet, "GET", "/one/x", "late");
    assert!(took >= SLOW, "{took:?}");
    assert_eq!(fleet.run_count("late"), 1);
    assert_eq!(counter(&fleet, "hedges_sent"), 0);
    assert_eq!(counter(&fleet, "hedges_refused"), 0);
}
