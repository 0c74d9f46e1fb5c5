//! Answers of targets that are errors of their own, on the users' platform with real processes.

use std::path::Path;

use serde_json::json;
use standins::{EntryFleet, TargetBehaviour};

/// Requests of each case.
const REQUESTS: usize = 20;

struct Case {
    name: &'static str,
    path: &'static str,
    /// Whether the settings limit the retries of the fleet.
    has_retry_limit: bool,
    /// Whether every request is answered without an error.
    all_succeed: bool,
}

const CASES: [Case; 3] = [
    Case {
        name: "repeatable",
        path: "/one/x",
        has_retry_limit: true,
        all_succeed: true,
    },
    Case {
        name: "at most once",
        path: "/two/x",
        has_retry_limit: true,
        all_succeed: false,
    },
    Case {
        name: "without a limit on retries",
        path: "/one/x",
        has_retry_limit: false,
        all_succeed: false,
    },
];

/// Guards against errors of one faulty target that reach callers although another target could
/// answer, and against second runs of requests that must run at most once.
#[test]
fn error_of_a_target_is_retried_for_repeatable_requests_only() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    for case in &CASES {
        let more = match case.has_retry_limit {
            true => json!({"retry_ratio": 0.2, "retry_slack": 1000}),
            false => json!({}),
        };
        let fleet = EntryFleet::start_with(program, 1, &more).expect("the fleet starts");
        let service = if case.path == "/one/x" { "one" } else { "two" };
        let mut targets = fleet.targets.iter().filter(|t| t.service == service);
        let faulty = targets.next().expect("a target");
        assert!(targets.next().is_some(), "another target");
        faulty.set_behaviour(TargetBehaviour::Fails);
        let mut failed = 0;
        for n in 0..REQUESTS {
            let id = format!("{}-{n}", case.path.replace('/', "-"));
            let reply = fleet.request(0, "key-big", "GET", case.path, &id);
            let status = reply.expect("a response").status;
            assert!(status == 200 || status == 500, "{}: {status}", case.name);
            failed += usize::from(status == 500);
            let most = if case.all_succeed { 2 } else { 1 };
            let runs = fleet.run_count(&id);
            assert!((1..=most).contains(&runs), "{}: {runs} runs", case.name);
        }
        assert_eq!(failed == 0, case.all_succeed, "{}: {failed}", case.name);
    }
}
