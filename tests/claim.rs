//! Claims of requests with an idempotency key, tested through daemon processes.

mod env;

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use standins::{Client, Cluster, Reply};

const SLOW_TARGET: Duration = Duration::from_millis(1500);

fn fleet() -> (Cluster, String) {
    let mut opts = env::options();
    opts.daemons = 2;
    let cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    (cluster, key)
}

/// Sends an order request that must not run twice.
fn send_order(
    cluster: &Cluster,
    daemon: usize,
    key: &str,
    idempotency_key: &str,
    body: &str,
) -> Reply {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", idempotency_key),
    ];
    let address = cluster.daemons[daemon].caller_address;
    let sent = Client::send_once(
        address,
        "POST",
        "/catalogue/order",
        &headers,
        body.as_bytes(),
    );
    sent.expect("no response")
}

fn executed_orders(cluster: &Cluster) -> usize {
    let logs = cluster.targets.iter().flat_map(standins::Target::log);
    logs.filter(|r| r.path == "/catalogue/order").count()
}

#[test]
fn resend_through_another_host_is_refused_with_the_first_request() {
    let (cluster, key) = fleet();
    for target in &cluster.targets {
        target.set_faults(|f| f.slow_ms = SLOW_TARGET.as_millis() as u64);
    }
    let first = thread::scope(|s| {
        let first = s.spawn(|| send_order(&cluster, 0, &key, "k1", "one"));
        assert!(env::eventually(Duration::from_secs(10), || {
            executed_orders(&cluster) == 1
        }));
        let resent = send_order(&cluster, 1, &key, "k1", "one");
        assert_eq!(resent.status, 409, "{}", resent.text());
        assert_eq!(resent.json()["reason"], "claim_held");
        assert_eq!(resent.header("chervillug-outcome"), Some("not-run"));
        first.join().expect("thread panicked")
    });
    assert_eq!(first.status, 200);
    let id = first.header("chervillug-request-id");
    let mut last = None;
    let is_finished = env::eventually(Duration::from_secs(5), || {
        let resent = send_order(&cluster, 1, &key, "k1", "one");
        let finished = resent.json()["reason"] == "claim_finished";
        last = Some(resent);
        finished
    });
    let last = last.expect("no response");
    assert!(is_finished, "{}", last.text());
    assert_eq!(last.header("chervillug-first-request-id"), id);
    assert_eq!(last.header("chervillug-first-status"), Some("200"));
    assert_eq!(executed_orders(&cluster), 1);
}

#[test]
fn different_request_with_the_same_key_is_refused() {
    let (cluster, key) = fleet();
    assert_eq!(send_order(&cluster, 0, &key, "k1", "one").status, 200);
    let other = send_order(&cluster, 1, &key, "k1", "two");
    assert_eq!(other.status, 422);
    assert_eq!(other.json()["reason"], "claim_mismatch");
    assert_eq!(send_order(&cluster, 1, &key, "k2", "two").status, 200);
    assert_eq!(executed_orders(&cluster), 2);
    let long = "k".repeat(256);
    assert_eq!(send_order(&cluster, 0, &key, &long, "one").status, 400);
}

#[test]
fn lost_write_response_does_not_lose_the_claim() {
    let (cluster, key) = fleet();
    for n in 0..5 {
        cluster.platform.set_faults(|f| f.lose_write_answers = 1);
        let name = format!("k{n}");
        let first = send_order(&cluster, 0, &key, &name, "one");
        assert_eq!(first.status, 200, "{}", first.text());
        let resent = send_order(&cluster, 1, &key, &name, "one");
        assert_eq!(resent.status, 409, "{}", resent.text());
        assert_eq!(executed_orders(&cluster), n + 1);
    }
}

#[test]
fn unwritable_claim_is_refused_as_not_run() {
    let (cluster, key) = fleet();
    cluster.platform.set_faults(|f| f.down = true);
    let start = Instant::now();
    let refused = send_order(&cluster, 0, &key, "k1", "one");
    assert_eq!(refused.status, 503, "{}", refused.text());
    assert_eq!(refused.json()["reason"], "claim_unavailable");
    assert_eq!(refused.header("chervillug-outcome"), Some("not-run"));
    assert!(start.elapsed() < Duration::from_secs(15));
    assert_eq!(executed_orders(&cluster), 0);
}

#[test]
fn request_that_did_not_run_may_run_later() {
    let (cluster, key) = fleet();
    for target in &cluster.targets {
        target.set_faults(|f| f.shed = true);
    }
    let shed = send_order(&cluster, 0, &key, "k1", "one");
    assert_eq!(shed.json()["reason"], "target_shed", "{}", shed.text());
    assert_eq!(executed_orders(&cluster), 0);
    for target in &cluster.targets {
        target.set_faults(|f| f.shed = false);
    }
    let mut last = json!(null);
    let ran = env::eventually(Duration::from_secs(10), || {
        let resent = send_order(&cluster, 1, &key, "k1", "one");
        last = resent.json();
        resent.status == 200
    });
    assert!(ran, "{last}");
    assert_eq!(executed_orders(&cluster), 1);
}
