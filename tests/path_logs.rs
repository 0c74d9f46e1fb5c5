//! Logs of a daemon at the most verbose level.

mod env;

use std::{fs, path::PathBuf};

use serde_json::{json, Value};
use standins::{Client, DaemonCommand};

/// Returns the command that runs the program at the most verbose log level.
fn verbose_command() -> DaemonCommand {
    let program = env::command().program;
    DaemonCommand {
        program: PathBuf::from("/usr/bin/env"),
        leading_args: vec!["RUST_LOG=trace".into(), program.display().to_string()],
    }
}

#[test]
fn logs_are_json_lines_with_request_ids_and_without_secrets() {
    let mut opts = env::options();
    opts.command = verbose_command();
    let cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let answered = cluster
        .request(0, &key, "GET", "/catalogue/x")
        .expect("an answer");
    let path_with_key = format!("/catalogue/{key}");
    let refused = cluster
        .request(0, &key, "GET", &path_with_key)
        .expect("an answer");
    let wrong_key = "ck_0123456789abcdef";
    cluster
        .request(0, wrong_key, "GET", "/catalogue")
        .expect("an answer");
    let address = cluster.daemons[0].caller_address;
    let mut client = Client::connect(address, std::time::Duration::from_secs(20)).expect("open");
    let malformed = format!("GET /{key} HTTP/1.1\r\nauthorization {key}\r\n\r\n");
    client.write(malformed.as_bytes()).expect("a request");
    assert_eq!(client.read_reply("GET").expect("an answer").status, 400);
    let keys = cluster
        .operator_request(0, "GET", "/keys", &json!(null))
        .expect("keys")
        .json();
    let withdraw = json!({"withdraw_key": {"hash": keys[0]["hash"]}});
    assert_eq!(cluster.edit(0, &withdraw).expect("an answer").status, 200);

    let log = fs::read_to_string(&cluster.daemons[0].log_path).expect("a log");
    let secrets = [
        key.as_str(),
        wrong_key,
        "fleet-secret-for",
        "key-secret-for",
    ];
    for secret in secrets.iter().chain(&[cluster.operator_token()]) {
        assert!(!log.contains(secret), "the log contains {secret}");
    }
    let lines: Vec<Value> = log
        .lines()
        .map(|l| serde_json::from_str(l).expect("a JSON line"))
        .collect();
    let find_line = |id: Option<&str>, message: &str| {
        let request_lines = lines.iter().filter(|l| l["request_id"].as_str() == id);
        request_lines.into_iter().find(|l| l["message"] == message)
    };
    let answered_id = answered.header("chervillug-request-id");
    for message in ["admitted", "placed"] {
        assert!(
            find_line(answered_id, message).is_some(),
            "no log line {message}"
        );
    }
    let line = find_line(answered_id, "answered").expect("an access line");
    assert_eq!(line["workspace"], "parish");
    assert_eq!(line["status"], 200);
    assert_eq!(line["level"], "INFO");
    let refused_id = refused.header("chervillug-request-id");
    let line = find_line(refused_id, "refused").expect("a refusal line");
    assert_eq!(line["reason"], "key_exposed");
    assert_eq!(line["level"], "INFO");
}
