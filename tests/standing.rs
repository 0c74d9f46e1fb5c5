//! An admitted request that waits for a target is sent only while its admission stands.

mod env;

use std::{
    io,
    thread::{self, JoinHandle},
    time::Duration,
};

use serde_json::json;
use standins::{Client, Cluster, Reply};

/// Time that the only slot of the only target is taken by one request.
const WORK: Duration = Duration::from_millis(1500);
/// Time in which a request gets to its target or to the queue before it.
const ARRIVAL: Duration = Duration::from_millis(300);
/// Time for which a daemon is paused.
const PAUSE: Duration = Duration::from_secs(3);

/// Rate at which no token comes back during a test, 1/s.
const SLOW_RATE_PER_S: f64 = 0.001;
/// Burst of three usable tokens, since a part of one pays for the life of grants.
const BURST: u32 = 4;

/// One target that runs one request at a time.
fn narrow_fleet() -> Cluster {
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

fn ran(cluster: &Cluster, path: &str) -> bool {
    cluster.targets[0].log().iter().any(|r| r.path == path)
}

#[test]
fn waiting_request_whose_key_is_withdrawn_does_not_run() {
    let cluster = narrow_fleet();
    let staying = env::add_workspace(&cluster, "staying", 1000.0, 1000);
    let leaving = env::add_workspace(&cluster, "leaving", 1000.0, 1000);
    let keys = cluster.operator_request(0, "GET", "/keys", &json!(null));
    let keys = keys.expect("the keys").json();
    let mut rows = keys.as_array().expect("rows").iter();
    let row = rows.find(|k| k["workspace"] == "leaving").expect("the key");
    let change = json!({"withdraw_key": {"hash": row["hash"]}});

    cluster.targets[0].set_faults(|f| f.slow_ms = WORK.as_millis() as u64);
    let first = post(&cluster, &staying, "/catalogue/first");
    thread::sleep(ARRIVAL);
    let waiting = post(&cluster, &leaving, "/catalogue/waiting");
    thread::sleep(ARRIVAL);
    assert_eq!(cluster.edit(0, &change).expect("an answer").status, 200);

    let first = first.join().expect("a thread").expect("an answer");
    let waiting = waiting.join().expect("a thread").expect("an answer");
    assert_eq!(first.status, 200);
    assert_eq!(waiting.status, 401, "{}", waiting.text());
    assert_eq!(waiting.header("chervillug-outcome"), Some("not-run"));
    assert!(!ran(&cluster, "/catalogue/waiting"));
}

#[test]
fn waiting_request_is_admitted_anew_behind_a_pause() {
    let cluster = narrow_fleet();
    let first_key = env::add_workspace(&cluster, "first", 1000.0, 1000);
    let key = env::add_workspace(&cluster, "waiting", SLOW_RATE_PER_S, BURST);
    let spare = cluster.request(0, &key, "OPTIONS", "/catalogue");
    assert_eq!(spare.expect("an answer").status, 200);

    cluster.targets[0].set_faults(|f| f.slow_ms = WORK.as_millis() as u64);
    let first = post(&cluster, &first_key, "/catalogue/first");
    thread::sleep(ARRIVAL);
    let waiting = post(&cluster, &key, "/catalogue/waiting");
    thread::sleep(ARRIVAL);
    cluster.daemons[0].signal("STOP");
    thread::sleep(PAUSE);
    cluster.daemons[0].signal("CONT");

    let waiting = waiting.join().expect("a thread").expect("an answer");
    let _ = first.join();
    assert_eq!(waiting.header("chervillug-outcome"), Some("not-run"));
    assert_ne!(waiting.status, 200, "{}", waiting.text());
    assert!(!ran(&cluster, "/catalogue/waiting"));
}
