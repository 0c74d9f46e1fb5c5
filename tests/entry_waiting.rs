//! Requests that wait for a target, on the users' platform with real processes.

use std::{
    path::Path,
    thread::{scope, sleep},
    time::{Duration, Instant},
};

use standins::{configuration, Client, EntryFleet, TargetBehaviour};

/// Timeout of the callers.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Slots of all targets of the service `two`.
const SLOTS: usize = 4;

fn start(behaviour: TargetBehaviour) -> EntryFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let fleet = EntryFleet::start(program, 1).expect("the fleet starts");
    for target in fleet.targets.iter().filter(|t| t.service == "two") {
        target.set_behaviour(behaviour);
    }
    fleet
}

fn connect(fleet: &EntryFleet) -> Client {
    Client::connect(fleet.daemons[0].caller_address, REPLY_TIMEOUT).expect("opens")
}

fn head(id: &str, deadline_ms: u64) -> Vec<u8> {
    let head = format!(
        "GET /two/x HTTP/1.1\r\nhost: shop.example\r\nauthorization: Token key-big\r\n\
         x-request-id: {id}\r\nx-deadline-ms: {deadline_ms}\r\n\r\n"
    );
    head.into_bytes()
}

/// Occupies all slots of the service, and returns the connections that do so.
fn occupy(fleet: &EntryFleet) -> Vec<Client> {
    let busy = |i: usize| {
        let mut client = connect(fleet);
        client
            .write(&head(&format!("busy-{i}"), 2000))
            .expect("is sent");
        client
    };
    let clients = (0..SLOTS).map(busy).collect();
    let end = Instant::now() + REPLY_TIMEOUT;
    let running = || (0..SLOTS).filter(|i| fleet.run_count(&format!("busy-{i}")) > 0);
    while running().count() < SLOTS {
        assert!(Instant::now() < end, "the targets do not get the requests");
        sleep(Duration::from_millis(2));
    }
    clients
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

/// Guards against requests that are sent to a target after their caller has left the queue.
#[test]
fn request_whose_caller_left_the_queue_is_not_sent() {
    let fleet = start(TargetBehaviour::AnswersAfter(Duration::from_millis(400)));
    let occupied = occupy(&fleet);
    let mut stays = connect(&fleet);
    let mut leaves = connect(&fleet);
    leaves.write(&head("leaves", 2000)).expect("is sent");
    sleep(Duration::from_millis(50));
    stays.write(&head("stays", 2000)).expect("is sent");
    sleep(Duration::from_millis(50));
    drop(leaves);
    assert_eq!(stays.read_reply("GET").expect("a response").status, 200);
    sleep(Duration::from_millis(100));
    assert_eq!(fleet.run_count("leaves"), 0);
    assert_eq!(fleet.run_count("stays"), 1);
    assert_eq!(counter(&fleet, "queue_abandoned"), 1);
    drop(occupied);
}

/// Guards against a rejection without the expected wait, and against clients that ignore it and are
/// queued like those that do not.
#[test]
fn client_that_does_not_wait_is_known_when_it_returns() {
    let fleet = start(TargetBehaviour::Hangs);
    let occupied = occupy(&fleet);
    let send = |client: &mut Client, id: &str| {
        client.write(&head(id, 200)).expect("is sent");
        client.read_reply("GET").expect("a response")
    };
    scope(|s| {
        let impatient = s.spawn(|| {
            let mut client = connect(&fleet);
            let first = send(&mut client, "impatient-1");
            (first, send(&mut client, "impatient-2"))
        });
        let (first, second) = impatient.join().expect("two responses");
        for reply in [&first, &second] {
            assert_eq!(reply.status, 503);
            let wait_s: f64 = reply
                .header("retry-after")
                .expect("a wait")
                .parse()
                .unwrap();
            assert!((0.2..=15.0).contains(&wait_s), "retry after {wait_s} s");
        }
    });
    assert_eq!(counter(&fleet, "queue_resent_early"), 1);
    let log = fleet.daemons[0].log();
    let line = log.lines().find(|l| l.contains("rejected by the queue"));
    let line = line.expect("a log line");
    assert!(
        line.contains("expired") && line.contains("impatient-1"),
        "{line}"
    );
    assert_eq!(
        fleet.run_count("impatient-1") + fleet.run_count("impatient-2"),
        0
    );
    drop(occupied);
}

/// Guards against a route whose rank outweighs that of the workspace: rank 5,000 of a route counts as
/// 999, one less than a rank of a workspace.
#[test]
fn rank_of_a_workspace_takes_precedence_over_any_route() {
    let fleet = start(TargetBehaviour::Answers);
    let mut cfg = configuration(2);
    cfg["routes"]["safe"]["priority"] = 5000.into();
    fleet.publish_configuration(&cfg);
    let end = Instant::now() + REPLY_TIMEOUT;
    let is_in_force = || {
        let reply = fleet.request(0, "key-big", "GET", "/one/x", "ranked");
        assert_eq!(reply.expect("a response").status, 200);
        let log = fleet.daemons[0].log();
        let mut admitted = log.lines().filter(|l| l.contains("admitted"));
        admitted.any(|l| rank(l) == Some(1999))
    };
    while !is_in_force() {
        assert!(Instant::now() < end, "no request of rank 1999");
        sleep(Duration::from_millis(50));
    }
}

/// Returns the rank in a line of the log, which is JSON.
fn rank(line: &str) -> Option<u64> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    line.get("rank")?.as_u64()
}
