//! Bounds of one daemon, each with the answer that callers get.

mod env;

use std::{thread, time::Duration};

use serde_json::{json, Value};
use standins::{Client, Cluster, Reply};

/// Longest time for one step on a loaded machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that the request takes which holds the room.
const HOLD_MS: u64 = 1500;

fn fleet(limits: &Value) -> (Cluster, String) {
    let mut opts = env::options();
    opts.settings = json!({"limits": limits});
    let cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    (cluster, key)
}

/// Runs `probe` while a request with `body` is in flight.
fn while_in_flight(cluster: &Cluster, key: &str, body: &'static [u8], probe: impl FnOnce()) {
    let runs = || cluster.targets.iter().map(|t| t.runs()).sum::<usize>();
    let before = runs();
    cluster
        .targets
        .iter()
        .for_each(|t| t.set_faults(|f| f.slow_ms = HOLD_MS));
    let address = cluster.daemons[0].caller_address;
    let authorization = format!("Bearer {key}");
    let holder = thread::spawn(move || {
        let headers = [("authorization", authorization.as_str())];
        Client::send_once(address, "POST", "/catalogue/hold", &headers, body)
    });
    assert!(env::eventually(STEP_TIMEOUT, || runs() > before));
    cluster
        .targets
        .iter()
        .for_each(|t| t.set_faults(|f| f.slow_ms = 0));
    probe();
    let held = holder.join().expect("a client").expect("an answer");
    assert_eq!(held.status, 200);
}

fn post(cluster: &Cluster, key: &str, body: &[u8]) -> Reply {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let address = cluster.daemons[0].caller_address;
    Client::send_once(address, "POST", "/catalogue", &headers, body).expect("an answer")
}

fn assert_refused(reply: &Reply, reason: &str) {
    assert_eq!(reply.status, 503, "{reason}");
    assert_eq!(reply.json()["reason"], reason);
    assert_eq!(reply.header("chervillug-outcome"), Some("not-run"));
    assert_eq!(reply.header("retry-after"), Some("1"));
}

#[test]
fn connections_over_their_bound_are_told() {
    let (cluster, key) = fleet(&json!({"connections": 3}));
    let address = cluster.daemons[0].caller_address;
    let connect = || Client::connect(address, STEP_TIMEOUT).expect("a connection");
    let full = || cluster.daemons[0].status(cluster.operator_token())["connections"] == 3;
    let held: Vec<Client> = (0..3).map(|_| connect()).collect();
    assert!(env::eventually(STEP_TIMEOUT, full));
    let reply = connect().read_reply("GET").expect("an answer");
    assert_refused(&reply, "too_many_connections");
    drop(held);
    let freed = || {
        cluster
            .request(0, &key, "GET", "/catalogue")
            .is_ok_and(|r| r.status == 200)
    };
    assert!(env::eventually(STEP_TIMEOUT, freed));
}

#[test]
fn requests_over_their_bound_are_told() {
    let (cluster, key) = fleet(&json!({"in_flight": 1}));
    while_in_flight(&cluster, &key, b"", || {
        assert_refused(&post(&cluster, &key, b""), "too_many_in_flight");
    });
    assert_eq!(post(&cluster, &key, b"").status, 200);
}

#[test]
fn buffered_bytes_over_their_bound_are_told() {
    let (cluster, key) = fleet(&json!({"buffered_bytes": 1000, "buffered_body_bytes": 1000}));
    while_in_flight(&cluster, &key, &[b'x'; 600], || {
        assert_refused(&post(&cluster, &key, &[b'x'; 600]), "buffer_full");
        assert_eq!(post(&cluster, &key, &[b'x'; 300]).status, 200);
    });
    assert_eq!(post(&cluster, &key, &[b'x'; 600]).status, 200);
}

#[test]
fn slow_body_is_told() {
    let (cluster, key) = fleet(&json!({"body_part_ms": 300}));
    let address = cluster.daemons[0].caller_address;
    for framing in ["content-length: 10", "transfer-encoding: chunked"] {
        let mut client = Client::connect(address, STEP_TIMEOUT).expect("a connection");
        let head = format!(
            "POST /catalogue/slow HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
             {framing}\r\n\r\n1\r\nx"
        );
        client.write(head.as_bytes()).expect("a request");
        let reply = client.read_reply("POST").expect("an answer");
        assert_eq!(reply.status, 408, "{framing}");
        assert_eq!(reply.json()["reason"], "body_incomplete", "{framing}");
        assert_eq!(reply.header("chervillug-outcome"), Some("not-run"));
    }
    let ran = cluster.targets.iter().flat_map(|t| t.log());
    assert!(!ran.into_iter().any(|r| r.path == "/catalogue/slow"));
}

#[test]
fn caller_that_does_not_read_is_cut_off() {
    let (cluster, key) = fleet(&json!({"body_part_ms": 300}));
    let address = cluster.daemons[0].caller_address;
    let mut client = Client::connect(address, STEP_TIMEOUT).expect("a connection");
    let head = format!(
        "GET /catalogue?stream=100000000 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\r\n"
    );
    client.write(head.as_bytes()).expect("a request");
    let status = || cluster.daemons[0].status(cluster.operator_token());
    let cut_off = || status()["counters"]["answers_cut_off"] == 1;
    assert!(env::eventually(STEP_TIMEOUT, cut_off));
    assert!(env::eventually(STEP_TIMEOUT, || status()["in_flight"] == 0));
    let error = client.read_to_eof().expect_err("a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}
