//! Admission by rank in a fleet of real daemons whose targets report that they are full.

use std::{
    path::Path,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use standins::{configuration, Client, EntryFleet, TargetBehaviour};

/// Daemons of the fleet.
const DAEMONS: usize = 4;
/// Clients of each daemon. One of them sends urgent requests, which occupy one of the four slots;
/// the requests of the others are more than the slots and a queue of moderate length.
const CLIENTS: usize = 7;
/// The same while the targets are not full, so that no daemon has to queue requests.
const IDLE_CLIENTS: usize = 2;
/// Time of a request at a target.
const WORK: Duration = Duration::from_millis(150);
/// Time in which the levels settle, in or out of force.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Time in which responses are counted.
const WINDOW: Duration = Duration::from_secs(3);

#[derive(Default)]
struct Counts {
    answered: usize,
    rejected: usize,
    /// Rejections without a positive `Retry-After`.
    without_retry_after: usize,
}

/// Sends a request; those without a key have the more urgent rank.
fn send(fleet: &EntryFleet, daemon: usize, urgent: bool, id: &str, counts: &Mutex<Counts>) {
    let address = fleet.daemons[daemon].caller_address;
    let path = if urgent { "/open/x" } else { "/one/x" };
    let mut headers = vec![("host", "shop.example"), ("x-request-id", id)];
    if !urgent {
        headers.push(("authorization", "Token key-big"));
    }
    let client = Client::connect(address, Duration::from_secs(5));
    let reply = client.and_then(|mut c| c.send("GET", path, &headers, b""));
    let reply = reply.expect("a response");
    let mut counts = counts.lock().expect("no panic");
    if reply.status == 200 {
        counts.answered += 1;
    } else {
        assert_eq!(reply.status, 503);
        let wait = reply.header("retry-after").and_then(|v| v.parse().ok());
        counts.rejected += 1;
        counts.without_retry_after += usize::from(!wait.is_some_and(|s: f64| s > 0.0));
    }
}

/// Keeps the clients of each daemon busy, and returns what those of the urgent and of the other rank
/// received after the levels have settled.
fn run(fleet: &EntryFleet, clients: usize, name: &str) -> [Counts; 2] {
    let counts = [Mutex::default(), Mutex::default()];
    let before = Mutex::default();
    let start = Instant::now();
    thread::scope(|scope| {
        for client in 0..DAEMONS * clients {
            let (counts, before) = (&counts, &before);
            scope.spawn(move || {
                let (daemon, rank) = (client % DAEMONS, usize::from(client >= DAEMONS));
                let mut n = 0;
                while start.elapsed() < SETTLING_TIME + WINDOW {
                    let is_counted = start.elapsed() >= SETTLING_TIME;
                    let counts = if is_counted { &counts[rank] } else { before };
                    send(
                        fleet,
                        daemon,
                        rank == 0,
                        &format!("{name}-{client}-{n}"),
                        counts,
                    );
                    n += 1;
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    counts.map(|c| c.into_inner().expect("no panic"))
}

/// Guards against levels that are not exchanged between processes, that reject the urgent rank, or
/// that stay when the targets are no longer full.
#[test]
fn less_urgent_requests_are_rejected_while_targets_are_full() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let fleet = EntryFleet::start(program, DAEMONS).expect("the fleet starts");
    let mut cfg = configuration(2);
    cfg["routes"]["open"]["priority"] = json!(0);
    fleet.publish_configuration(&cfg);
    for target in &fleet.targets {
        target.set_behaviour(TargetBehaviour::AnswersAfter(WORK));
        target.set_load("2,8,2");
    }
    let [urgent, other] = run(&fleet, CLIENTS, "full");
    let (answered, rejected) = (other.answered, other.rejected);
    println!("urgent {} {}", urgent.answered, urgent.rejected);
    println!("other {answered} {rejected}");
    assert_eq!(urgent.rejected, 0);
    assert!(urgent.answered > 0 && answered > 0 && rejected > 0);
    assert_eq!(other.without_retry_after, 0);
    for daemon in &fleet.daemons {
        assert!(daemon.log().contains("rejecting requests by rank"));
    }
    for target in &fleet.targets {
        target.set_load("1,0,2");
    }
    let [urgent, other] = run(&fleet, IDLE_CLIENTS, "idle");
    assert_eq!((urgent.rejected, other.rejected), (0, 0));
}
