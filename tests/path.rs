//! A request from its caller to a target and back, through the real program.

mod env;

use std::time::Duration;

use serde_json::json;

#[test]
fn request_reaches_a_target_and_its_answer_comes_back() {
    let cluster = env::start(env::options());
    let key = env::workspace(&cluster, "parish", 1000.0, 1000);
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
    let key = env::workspace(&cluster, "parish", 1000.0, 1000);
    let keys = cluster
        .operate(0, "GET", "/keys", &json!(null))
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
    let good = env::workspace(&cluster, "parish", 1000.0, 1000);
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
