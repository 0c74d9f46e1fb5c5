//! Logs and metrics of an entry daemon, and the subcommand `explain`.

use std::{
    io::Write,
    path::Path,
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use chervillug::{clock::BootTime, logging::LogRateLimiter};
use serde_json::Value;
use standins::{Client, EntryFleet, TargetBehaviour};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_chervillug"))
}

/// Returns the standard output and error of `chervillug explain`, and whether it succeeded.
fn explain(request_id: &str, log: &str) -> (String, String, bool) {
    let mut child = Command::new(program())
        .args(["explain", "--request", request_id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("standard input");
    stdin.write_all(log.as_bytes()).expect("log written");
    drop(stdin);
    let out = child.wait_with_output().expect("the program ends");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&out.stdout), text(&out.stderr), out.status.success())
}

struct Case {
    name: &'static str,
    behaviour: TargetBehaviour,
    key: &'static str,
    path: &'static str,
    status: u16,
    /// Texts that the output must contain, in this order.
    expected: &'static [&'static str],
}

const CASES: [Case; 4] = [
    Case {
        name: "answered",
        behaviour: TargetBehaviour::Answers,
        key: "key-big",
        path: "/two/x",
        status: 200,
        expected: &["configuration read", "admitted", "placed", "answered"],
    },
    Case {
        name: "the target may have run it",
        behaviour: TargetBehaviour::ClosesAfterRun,
        key: "key-big",
        path: "/two/x",
        status: 502,
        expected: &[
            "admitted",
            "placed",
            "opening its circuit breaker",
            "reason=target_lost",
        ],
    },
    Case {
        name: "shed everywhere",
        behaviour: TargetBehaviour::Sheds,
        key: "key-big",
        path: "/two/x",
        status: 503,
        expected: &["admitted", "placed", "retry", "reason=target_shed"],
    },
    Case {
        name: "unknown key",
        behaviour: TargetBehaviour::Answers,
        key: "key-none",
        path: "/two/x",
        status: 401,
        expected: &["configuration read", "reason=key_unknown"],
    },
];

#[test]
fn explain_prints_the_log_lines_of_a_request() {
    for (i, case) in CASES.iter().enumerate() {
        let fleet = EntryFleet::start(program(), 1).expect("the fleet starts");
        fleet
            .targets
            .iter()
            .for_each(|t| t.set_behaviour(case.behaviour));
        let id = format!("explain-{i}");
        let reply = fleet.request(0, case.key, "POST", case.path, &id);
        assert_eq!(
            reply.expect("an answer").status,
            case.status,
            "{}",
            case.name
        );
        std::thread::sleep(Duration::from_millis(100));
        let log = fleet.daemons[0].log();
        assert!(!log.contains("key-big"), "the log contains a key");
        let (trace, _, succeeded) = explain(&id, &log);
        assert!(succeeded, "{}", case.name);
        let mut rest = trace.as_str();
        for part in case.expected {
            let at = rest.find(part);
            let at = at.unwrap_or_else(|| panic!("{}: no {part} in {trace}", case.name));
            rest = &rest[at..];
        }
    }
}

/// State messages of an earlier version, with the current message that replaced each.
const RENAMED_STATE_MESSAGES: [(&str, &str); 3] = [
    ("store lost", "store unreachable"),
    ("store regained", "store reachable again"),
    ("slice held", "slice holder read"),
];

#[test]
fn explain_prints_state_messages_of_earlier_versions() {
    for message in RENAMED_STATE_MESSAGES
        .iter()
        .flat_map(|(old, new)| [old, new])
    {
        let log = format!(
            concat!(
                r#"{{"host":"entry-0","at_ms":1,"message":"{}","table":"hosts"}}"#,
                "\n",
                r#"{{"host":"entry-0","at_ms":2,"message":"admitted","request_id":"a"}}"#,
                "\n",
            ),
            message
        );
        let (trace, _, succeeded) = explain("a", &log);
        let state = trace.find(message);
        let request = trace.find("admitted");
        assert!(succeeded && state.is_some(), "{message}: {trace}");
        assert!(state < request, "{message}: {trace}");
    }
}

#[test]
fn explain_reports_unparsable_lines_and_unknown_request_ids() {
    let log = "no json\n{\"request_id\":\"a\",\"message\":\"refused\"}\n{\"half\n";
    let (trace, errors, succeeded) = explain("a", log);
    assert!(succeeded && trace.contains("refused"), "{trace}");
    assert!(
        errors.contains("line 1") && errors.contains("line 3"),
        "{errors}"
    );
    let (_, errors, succeeded) = explain("b", log);
    assert!(
        !succeeded && errors.contains("no log lines for request b"),
        "{errors}"
    );
}

#[test]
fn unread_log_pipe_does_not_block_requests() {
    let mut fleet = EntryFleet::start(program(), 1).expect("the fleet starts");
    fleet.daemons[0]
        .restart_with_unread_log()
        .expect("a restart");
    fleet.wait_serving().expect("the daemon serves");
    let started = Instant::now();
    for i in 0..600 {
        let reply = fleet.request(0, "key-big", "GET", "/one/x", &format!("unread-{i}"));
        assert_eq!(reply.expect("an answer").status, 200);
    }
    assert!(
        started.elapsed() < Duration::from_secs(20),
        "{:?}",
        started.elapsed()
    );
}

#[test]
fn metrics_are_exported_as_text() {
    let fleet = EntryFleet::start(program(), 1).expect("the fleet starts");
    let address = fleet.daemons[0].ready_address;
    let reply = Client::send_once(address, "GET", "/metrics", &[], b"").expect("the metrics");
    assert_eq!(reply.status, 200);
    let text = reply.text();
    for name in [
        "chervillug_requests ",
        "chervillug_store_calls ",
        "chervillug_refused_not_ready ",
    ] {
        assert!(text.contains(name), "{name} in {text}");
    }
}

/// Returns the value of a metric.
fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    let value = line.and_then(|l| l.trim().parse().ok());
    value.unwrap_or_else(|| panic!("{name} in {text}"))
}

#[test]
fn latencies_are_exported_as_quantiles() {
    let fleet = EntryFleet::start(program(), 1).expect("the fleet starts");
    let address = fleet.daemons[0].ready_address;
    let started = Instant::now();
    for i in 0..20 {
        let reply = fleet.request(0, "key-big", "GET", "/one/x", &format!("timed-{i}"));
        assert_eq!(reply.expect("an answer").status, 200);
    }
    let longest = started.elapsed().as_secs_f64();
    let reply = Client::send_once(address, "GET", "/metrics", &[], b"").expect("the metrics");
    let text = reply.text();
    for latency in ["answer", "target"] {
        let name = format!("chervillug_{latency}_latency_s");
        assert!(metric(&text, &format!("{name}_count ")) >= 20.0);
        // A target takes 5 ms per request.
        let median = metric(&text, &format!("{name}{{quantile=\"0.5\"}} "));
        assert!((0.005..longest).contains(&median), "{median} s in {text}");
    }
}

#[test]
fn each_log_line_is_a_json_object() {
    let fleet = EntryFleet::start(program(), 1).expect("the fleet starts");
    let log = fleet.daemons[0].log();
    assert!(log.lines().count() > 3);
    for line in log.lines() {
        let value: Value = serde_json::from_str(line).expect("JSON");
        assert!(
            value["message"].is_string() && value["host"] == "entry-0",
            "{line}"
        );
    }
}

#[test]
fn log_lines_above_the_rate_limit_are_suppressed_and_counted() {
    let at = |ms| BootTime::from_duration(Duration::from_millis(ms));
    let mut limiter = LogRateLimiter::new(at(0));
    let written = (0..1000)
        .filter(|_| limiter.try_take(at(1)).is_some())
        .count();
    assert!((200..=201).contains(&written), "{written}");
    let later = 1 + LogRateLimiter::refill_time().as_millis() as u64;
    assert_eq!(limiter.try_take(at(later)), Some(1000 - written as u64));
    assert_eq!(limiter.try_take(at(later)), Some(0));
}

#[test]
fn key_in_place_of_a_request_id_is_not_logged() {
    let fleet = EntryFleet::start(program(), 1).expect("the fleet starts");
    struct Case {
        key: &'static str,
        path: &'static str,
        id: &'static str,
    }
    let cases = [
        Case {
            key: "key-big",
            path: "/one/x",
            id: "key-big",
        },
        Case {
            key: "key-big",
            path: "/one/x",
            id: "id-key%2Dbig-2",
        },
        Case {
            key: "key-none",
            path: "/one/x",
            id: "key-small",
        },
        Case {
            key: "",
            path: "/open/x",
            id: "key-small",
        },
        Case {
            key: "key-unknown",
            path: "/one/x",
            id: "1-key-unknown",
        },
    ];
    for case in &cases {
        let reply = fleet.request(0, case.key, "GET", case.path, case.id);
        let reply = reply.expect("a response");
        assert_eq!(reply.status, 400, "id {}", case.id);
        assert_eq!(reply.json()["reason"], "key_exposed", "id {}", case.id);
        assert_eq!(fleet.run_count(case.id), 0, "id {}", case.id);
    }
    std::thread::sleep(Duration::from_millis(300));
    for secret in ["key-big", "key-small", "key%2Dbig", "key-unknown"] {
        assert!(
            !fleet.daemons[0].log().contains(secret),
            "{secret} in the log"
        );
    }
}
