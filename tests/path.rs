//! A request from its caller to a target and back, through the real program.

mod env;

use std::{fs, time::Duration};

use serde_json::json;
use standins::Client;

#[test]
fn request_reaches_a_target_and_its_answer_comes_back() {
    let cluster = env::start(env::options());
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let reply = cluster
        .request(0, &key, "GET", "/catalogue/item?x=1")
        .expect("an answer");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("chervillug-outcome"), Some("answer"));
    let body = reply.json();
    assert_eq!(body["workspace"], "parish");
    assert_eq!(body["path"], "/catalogue/item?x=1");
    assert_eq!(
        body["request_id"].as_str(),
        reply.header("chervillug-request-id")
    );
}

#[test]
fn withdrawn_key_stops_working() {
    let cluster = env::start(env::options());
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let keys = cluster
        .operator_request(0, "GET", "/keys", &json!(null))
        .expect("the keys")
        .json();
    let change = json!({"withdraw_key": {"hash": keys[0]["hash"]}});
    assert_eq!(cluster.edit(0, &change).expect("an answer").status, 200);
    let stopped = env::eventually(Duration::from_secs(5), || {
        cluster
            .request(0, &key, "GET", "/catalogue")
            .is_ok_and(|r| r.status == 401)
    });
    assert!(stopped);
}

#[test]
fn withdrawn_key_stops_working_on_an_open_connection() {
    let cluster = env::start(env::options());
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let address = cluster.daemons[0].caller_address;
    let mut client = Client::connect(address, Duration::from_secs(20)).expect("a connection");
    let mut send = || {
        client
            .send("GET", "/catalogue", &headers, b"")
            .expect("an answer")
            .status
    };
    assert_eq!(send(), 200);
    let keys = cluster
        .operator_request(0, "GET", "/keys", &json!(null))
        .expect("the keys")
        .json();
    let change = json!({"withdraw_key": {"hash": keys[0]["hash"]}});
    assert_eq!(cluster.edit(0, &change).expect("an answer").status, 200);
    assert!(env::eventually(Duration::from_secs(5), || send() == 401));
}

#[test]
fn daemon_is_one_thread_without_io_uring() {
    let cluster = env::start(env::options());
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    assert!(cluster.request(0, &key, "GET", "/catalogue").is_ok());
    let process = format!("/proc/{}", cluster.daemons[0].id());
    let status = fs::read_to_string(format!("{process}/status")).expect("the process");
    assert!(status
        .lines()
        .any(|l| l.split_whitespace().eq(["Threads:", "1"])));
    for entry in fs::read_dir(format!("{process}/fd"))
        .expect("descriptors")
        .flatten()
    {
        let target = fs::read_link(entry.path()).unwrap_or_default();
        assert!(!target.to_string_lossy().contains("io_uring"));
    }
}

#[test]
fn status_page_tells_the_state_of_the_daemon() {
    let cluster = env::start(env::options());
    env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let page = cluster.daemons[0].status(cluster.operator_token());
    assert_eq!(page["host"], "entry-0");
    assert_eq!(page["data_centre"], "hobart");
    assert_eq!(page["version"], env!("CARGO_PKG_VERSION"));
    assert_eq!(page["ready"], true);
    assert_eq!(page["leaving"], false);
    assert_eq!(page["buffered_bytes"], 0);
    for counted in ["uptime_ms", "revision", "connections", "in_flight"] {
        assert!(page[counted].is_u64(), "{counted}");
    }
    assert!(page["counters"]["requests"].as_u64() > Some(0));
    assert_eq!(page["targets"].as_array().map(Vec::len), Some(2));
}

#[test]
fn refusals_tell_their_reason() {
    struct Case {
        path: &'static str,
        key: Option<&'static str>,
        status: u16,
        reason: &'static str,
    }
    let cases = [
        Case {
            path: "/catalogue",
            key: Some("ck_wrong"),
            status: 401,
            reason: "key_unknown",
        },
        Case {
            path: "/elsewhere",
            key: None,
            status: 404,
            reason: "route_closed",
        },
        Case {
            path: "/catalogue/../orders",
            key: None,
            status: 400,
            reason: "bad_request",
        },
    ];
    let cluster = env::start(env::options());
    let good = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    for case in &cases {
        let key = case.key.unwrap_or(&good);
        let reply = cluster
            .request(0, key, "GET", case.path)
            .expect("an answer");
        assert_eq!(reply.status, case.status, "{}", case.path);
        assert_eq!(reply.json()["reason"], case.reason, "{}", case.path);
        assert_eq!(reply.header("chervillug-outcome"), Some("not-run"));
    }
}
