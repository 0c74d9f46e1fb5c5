//! A queued request is sent to a target only while its admission is still valid.

mod env;

use std::{
    io,
    thread::{self, JoinHandle},
    time::Duration,
};

use serde_json::json;
use standins::{Client, Cluster, Reply};

/// Time for which one request occupies the only slot of the only target.
const WORK: Duration = Duration::from_millis(1500);
/// Time within which a request reaches its target or the queue for it.
const ARRIVAL: Duration = Duration::from_millis(300);
/// Duration of the pause of a daemon.
const PAUSE: Duration = Duration::from_secs(3);

/// Rate in 1/s that is too low to refill a token during a test.
const SLOW_RATE_PER_S: f64 = 0.001;
/// Burst with three usable tokens; a fraction of a token is reserved for the lifetime of grants.
const BURST: u32 = 4;

/// Starts a fleet with one target that runs one request at a time.
fn single_slot_fleet() -> Cluster {
    let mut opts = env::options();
    opts.services = vec![("catalogue".into(), 1)];
    opts.slots = 1;
    env::start(opts)
}

fn post(cluster: &Cluster, key: &str, path: &'static str) -> JoinHandle<io::Result<Reply>> {
    let address = cluster.daemons[0].caller_address;
    let bearer = format!("Bearer {key}");
    thread::spawn(move || {
        let headers = [("authorization", bearer.as_str())];
        Client::send_once(address, "POST", path, &headers, b"")
    })
}

fn has_run(cluster: &Cluster, path: &str) -> bool {
    cluster.targets[0].log().iter().any(|r| r.path == path)
}

#[test]
fn queued_request_whose_key_is_withdrawn_does_not_run() {
    let cluster = single_slot_fleet();
    let unaffected = env::add_workspace(&cluster, "unaffected", 1000.0, 1000);
    let withdrawn = env::add_workspace(&cluster, "withdrawn", 1000.0, 1000);
    let keys = cluster.operator_request(0, "GET", "/keys", &json!(null));
    let keys = keys.expect("listing the keys failed").json();
    let mut rows = keys.as_array().expect("keys are not a list").iter();
    let row = rows
        .find(|k| k["workspace"] == "withdrawn")
        .expect("key not listed");
    let change = json!({"withdraw_key": {"hash": row["hash"]}});

    cluster.targets[0].set_faults(|f| f.slow_ms = WORK.as_millis() as u64);
    let first = post(&cluster, &unaffected, "/catalogue/first");
    thread::sleep(ARRIVAL);
    let queued = post(&cluster, &withdrawn, "/catalogue/waiting");
    thread::sleep(ARRIVAL);
    assert_eq!(cluster.edit(0, &change).expect("no response").status, 200);

    let first = first.join().expect("thread panicked").expect("no response");
    let queued = queued
        .join()
        .expect("thread panicked")
        .expect("no response");
    assert_eq!(first.status, 200);
    assert_eq!(queued.status, 401, "{}", queued.text());
    assert_eq!(queued.header("chervillug-outcome"), Some("not-run"));
    assert!(!has_run(&cluster, "/catalogue/waiting"));
}

#[test]
fn queued_request_needs_a_new_admission_after_a_pause() {
    let cluster = single_slot_fleet();
    let first_key = env::add_workspace(&cluster, "first", 1000.0, 1000);
    let key = env::add_workspace(&cluster, "waiting", SLOW_RATE_PER_S, BURST);
    let reply = cluster.request(0, &key, "OPTIONS", "/catalogue");
    assert_eq!(reply.expect("no response").status, 200);

    cluster.targets[0].set_faults(|f| f.slow_ms = WORK.as_millis() as u64);
    let first = post(&cluster, &first_key, "/catalogue/first");
    thread::sleep(ARRIVAL);
    let queued = post(&cluster, &key, "/catalogue/waiting");
    thread::sleep(ARRIVAL);
    cluster.daemons[0].signal("STOP");
    thread::sleep(PAUSE);
    cluster.daemons[0].signal("CONT");

    let queued = queued
        .join()
        .expect("thread panicked")
        .expect("no response");
    let _ = first.join();
    assert_eq!(queued.header("chervillug-outcome"), Some("not-run"));
    assert_ne!(queued.status, 200, "{}", queued.text());
    assert!(!has_run(&cluster, "/catalogue/waiting"));
}
