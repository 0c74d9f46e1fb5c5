//! Graceful shutdown of an entry daemon under load.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use standins::{Client, EntryFleet};

#[test]
fn shutdown_answers_all_accepted_requests_and_exits_in_time() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let mut fleet = EntryFleet::start(program, 1).expect("the fleet starts");
    let address = fleet.daemons[0].caller_address;
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            thread::spawn(move || {
                let mut sent = 0;
                let started = Instant::now();
                let mut client = Client::connect(address, Duration::from_secs(3)).expect("open");
                while started.elapsed() < Duration::from_secs(7) {
                    let id = format!("c{caller}-{sent}");
                    let headers = [
                        ("host", "shop.example"),
                        ("authorization", "Token key-big"),
                        ("x-request-id", id.as_str()),
                        ("x-deadline-ms", "2000"),
                    ];
                    match client.send("GET", "/one/x", &headers, b"") {
                        Ok(reply) => {
                            assert!(reply.complete, "{id} was truncated");
                            assert!([200, 503].contains(&reply.status), "{id}: {}", reply.status);
                            sent += 1;
                            thread::sleep(Duration::from_millis(20));
                            if reply.header("connection") == Some("close") {
                                break;
                            }
                        }
                        Err(e) => panic!("{id}: {e}"),
                    }
                }
                sent
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let stopped = Instant::now();
    fleet.daemons[0].signal("TERM");
    thread::sleep(Duration::from_millis(100));
    assert!(!fleet.daemons[0].is_ready());
    let answered: usize = callers
        .into_iter()
        .map(|c| c.join().expect("a caller"))
        .sum();
    assert!(answered > 8, "only {answered} requests answered");
    let code = fleet.daemons[0].wait_exit(Duration::from_secs(6));
    assert_eq!(code, Some(0));
    assert!(stopped.elapsed() < Duration::from_secs(6));
}
