//! End-to-end tests of answers and failures of targets on the users' platform.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use standins::{EntryFleet, TargetBehaviour};

fn start(daemons: usize) -> EntryFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    EntryFleet::start(program, daemons).expect("the fleet starts")
}

struct Case {
    behaviour: TargetBehaviour,
    path: &'static str,
    /// Status of the response; 0 if the connection is closed before its end.
    status: u16,
    /// Most times that the request may run.
    max_runs: usize,
}

const CASES: [Case; 12] = [
    Case {
        behaviour: TargetBehaviour::ClosesBeforeRun,
        path: "/two/x",
        status: 502,
        max_runs: 0,
    },
    Case {
        behaviour: TargetBehaviour::ClosesAfterRun,
        path: "/two/x",
        status: 502,
        max_runs: 1,
    },
    Case {
        behaviour: TargetBehaviour::ClosesAfterRun,
        path: "/one/x",
        status: 502,
        max_runs: 2,
    },
    Case {
        behaviour: TargetBehaviour::Sheds,
        path: "/two/x",
        status: 503,
        max_runs: 0,
    },
    Case {
        behaviour: TargetBehaviour::Sheds,
        path: "/one/x",
        status: 503,
        max_runs: 0,
    },
    Case {
        behaviour: TargetBehaviour::Fails,
        path: "/two/x",
        status: 500,
        max_runs: 1,
    },
    Case {
        behaviour: TargetBehaviour::AnswersOtherRequest,
        path: "/two/x",
        status: 502,
        max_runs: 1,
    },
    Case {
        behaviour: TargetBehaviour::AnswersUnsigned,
        path: "/two/x",
        status: 502,
        max_runs: 1,
    },
    Case {
        behaviour: TargetBehaviour::TruncatesBody,
        path: "/two/x",
        status: 502,
        max_runs: 1,
    },
    Case {
        behaviour: TargetBehaviour::AnswersTwice,
        path: "/two/x",
        status: 200,
        max_runs: 1,
    },
    Case {
        behaviour: TargetBehaviour::Hangs,
        path: "/two/x",
        status: 504,
        max_runs: 1,
    },
    Case {
        behaviour: TargetBehaviour::Answers,
        path: "/two/x",
        status: 200,
        max_runs: 1,
    },
];

#[test]
fn caller_gets_the_actual_outcome_of_its_request() {
    for (i, case) in CASES.iter().enumerate() {
        let fleet = start(1);
        fleet
            .targets
            .iter()
            .for_each(|t| t.set_behaviour(case.behaviour));
        let name = format!("{:?} {}", case.behaviour, case.path);
        let id = format!("case-{i}");
        let began = Instant::now();
        let reply = fleet.request(0, "key-big", "POST", case.path, &id);
        let elapsed = began.elapsed();
        match reply {
            Ok(reply) if reply.complete => assert_eq!(reply.status, case.status, "{name}"),
            _ => assert_eq!(case.status, 0, "{name}"),
        }
        assert!(
            elapsed < Duration::from_millis(1600),
            "{name} took {elapsed:?}"
        );
        let runs = fleet.run_count(&id);
        assert!(runs <= case.max_runs, "{name} ran {runs} times");
    }
}

/// A refusal of a target that has run the request, and does not state that it has not.
struct Refusal {
    status: u16,
    path: &'static str,
    /// Status and reason of the response; without a reason it is the target's.
    response: (u16, Option<&'static str>),
}

/// Guards against orders that run twice, as their caller takes the refusal of a gray target for the
/// statement that the order was not run.
#[test]
fn refusal_by_a_target_that_may_have_run_the_request_is_unknown() {
    let unknown = (502, Some("target_ambiguous"));
    let mut cases: Vec<Refusal> = [408, 429, 503]
        .iter()
        .flat_map(|status| {
            let case = |path, response| Refusal {
                status: *status,
                path,
                response,
            };
            [case("/two/x", unknown), case("/one/x", (*status, None))]
        })
        .collect();
    cases.push(Refusal {
        status: 500,
        path: "/two/x",
        response: (500, None),
    });
    let fleet = start(1);
    for (i, case) in cases.iter().enumerate() {
        let behaviour = TargetBehaviour::AnswersStatus(case.status);
        fleet
            .targets
            .iter()
            .for_each(|t| t.set_behaviour(behaviour));
        let (name, id) = (
            format!("{} {}", case.status, case.path),
            format!("case-{i}"),
        );
        let reply = fleet.request(0, "key-big", "POST", case.path, &id);
        let reply = reply.expect("a response");
        let (status, reason) = case.response;
        assert_eq!(reply.status, status, "{name}");
        let is_signed = reply.header("x-server-signature").is_some();
        assert_eq!(is_signed, reason.is_none(), "{name}");
        if let Some(reason) = reason {
            assert_eq!(reply.json()["reason"], reason, "{name}");
        }
        assert_eq!(fleet.run_count(&id), 1, "{name}");
    }
}

#[test]
fn answers_never_reach_another_caller() {
    let fleet = start(1);
    fleet
        .targets
        .iter()
        .for_each(|t| t.set_behaviour(TargetBehaviour::AnswersTwice));
    for i in 0..60 {
        let id = format!("own-{i}");
        let reply = fleet.request(0, "key-big", "GET", "/one/x", &id);
        let reply = reply.expect("an answer");
        assert!(
            reply.status != 200 || reply.text() == id,
            "{}",
            reply.text()
        );
    }
}

#[test]
fn one_reset_opens_the_circuit_breaker_at_all_daemons() {
    let fleet = start(4);
    fleet.targets[2].set_behaviour(TargetBehaviour::ClosesBeforeRun);
    let failed: usize = (0..80)
        .filter(|i| {
            let id = format!("reset-{i}");
            let reply = fleet.request(i % 4, "key-big", "POST", "/two/x", &id);
            reply.expect("an answer").status != 200
        })
        .count();
    // A breaker opens for 2 s, and these requests take less than 5 s.
    assert!(failed <= 4, "{failed} of 80 failed");
}

#[test]
fn repeatable_requests_are_retried_after_a_reset() {
    let fleet = start(1);
    fleet.targets[0].set_behaviour(TargetBehaviour::ClosesBeforeRun);
    for i in 0..40 {
        let reply = fleet.request(0, "key-big", "GET", "/one/x", &format!("again-{i}"));
        assert_eq!(reply.expect("an answer").status, 200, "request {i}");
    }
}

#[test]
fn leaving_target_gets_no_more_work() {
    let fleet = start(2);
    fleet.targets[0].register(&fleet.store, "draining");
    std::thread::sleep(Duration::from_secs(2));
    let before = fleet.targets[0].runs().len();
    for i in 0..40 {
        let reply = fleet.request(i % 2, "key-big", "GET", "/one/x", &format!("left-{i}"));
        assert_eq!(reply.expect("an answer").status, 200);
    }
    assert_eq!(fleet.targets[0].runs().len(), before);
}

#[test]
fn target_at_a_reused_address_runs_nothing_for_the_previous_target() {
    let fleet = start(1);
    let entry = serde_json::json!({
        "backend": "two", "addr": fleet.targets[0].address().to_string(), "zone": "a",
        "version": "v1", "slots": 2, "state": "ready", "warmupLeftS": 0, "seq": 1});
    fleet
        .store
        .put("servers", "i-gone", entry.to_string().as_bytes());
    fleet.store.remove("servers", "i-two-0");
    std::thread::sleep(Duration::from_secs(2));
    for i in 0..30 {
        let reply = fleet.request(0, "key-big", "POST", "/two/x", &format!("moved-{i}"));
        let status = reply.expect("an answer").status;
        assert!(status == 200 || status == 503, "{status}");
    }
    let moved = fleet.targets[0].runs();
    assert!(moved.iter().all(|r| !r.request_id.starts_with("moved")));
}

#[test]
fn refusal_of_an_earlier_request_is_not_taken_for_that_of_the_next() {
    struct Case {
        behaviour: TargetBehaviour,
        /// Whether the connection carried a request before.
        kept_connection: bool,
    }
    let cases = [
        Case {
            behaviour: TargetBehaviour::RepeatsRefusal,
            kept_connection: true,
        },
        Case {
            behaviour: TargetBehaviour::RepeatsRefusal,
            kept_connection: false,
        },
        Case {
            behaviour: TargetBehaviour::RefusesWithoutId,
            kept_connection: true,
        },
    ];
    for (n, case) in cases.iter().enumerate() {
        let fleet = start(1);
        if case.kept_connection {
            for i in 0..8 {
                let reply = fleet.request(0, "key-big", "POST", "/two/x", &format!("warm-{i}"));
                assert_eq!(reply.expect("a response").status, 200);
            }
        }
        for target in &fleet.targets {
            target.set_behaviour(case.behaviour);
        }
        let id = format!("refused-{n}");
        let reply = fleet
            .request(0, "key-big", "POST", "/two/x", &id)
            .expect("a response");
        assert_eq!(fleet.run_count(&id), 1, "case {n}: run more than once");
        assert!(
            ![429, 503].contains(&reply.status),
            "case {n}: 'not run' for a request that ran"
        );
    }
}

/// Guards against requests that run at another service, and are answered there, since an entry of
/// another writer took the place of a target's own.
#[test]
fn entry_of_another_writer_leads_no_request_to_another_service() {
    let fleet = start(2);
    let taken = fleet.targets.iter().find(|t| t.service == "one");
    let taken = taken.expect("a target");
    let entry = serde_json::json!({"backend": "two", "addr": taken.address().to_string(), "zone": "a",
        "slots": 2, "state": "ready"});
    let body = entry.to_string();
    fleet.store.put("servers", &taken.id, body.as_bytes());
    std::thread::sleep(Duration::from_secs(1));
    for n in 0..40 {
        for path in ["/two/x", "/one/x"] {
            let reply = fleet.request(n % 2, "key-big", "POST", path, "order");
            assert_eq!(reply.expect("a response").status, 200, "{path}");
        }
    }
    let is_misled = |line: &str| line.ends_with("/two/x");
    let misled = taken
        .runs()
        .iter()
        .filter(|r| is_misled(&r.request_line))
        .count();
    assert_eq!(misled, 0, "requests ran at another service");
}

#[test]
fn odd_entry_among_the_targets_neither_ends_daemons_nor_stops_them_from_following() {
    let entry = |addr: &str, slots: &str, more: &str| {
        format!(
            r#"{{"backend":"one","addr":"{addr}","zone":"a","version":"v1","slots":{slots},
            "state":"ready","warmupLeftS":0,"seq":1{more}}}"#
        )
    };
    let nested = format!(r#","x":{}{}"#, "[".repeat(20_000), "]".repeat(20_000));
    let nested_objects = format!(r#","x":{}1{}"#, r#"{"a":"#.repeat(9_000), "}".repeat(9_000));
    let long_number = format!(r#","born":{}"#, "9".repeat(10_000));
    let odd_entries = [
        entry("127.0.0.1:9", "2", &nested),
        entry("127.0.0.1:9", "2", &nested_objects),
        nested[5..].to_owned(),
        entry("127.0.0.1:70000", "2", ""),
        entry("127.0.0.1:-1", "2", ""),
        entry("127.0.0.1:0", "2", ""),
        entry("127.0.0.1:9", "1e400", ""),
        entry("127.0.0.1:9", "99999999999999999999999", ""),
        entry("127.0.0.1:9", "-1", ""),
        entry("127.0.0.1:9", "2", &long_number),
        entry("127.0.0.1:9", "2", r#","warmupLeftS":1e999"#),
        entry("127.0.0.1:9", "2", r#","seq":-1e308"#),
        "\u{0}".to_owned(),
        String::new(),
    ];
    let mut fleet = start(4);
    for (n, odd) in odd_entries.iter().enumerate() {
        fleet
            .store
            .put("servers", &format!("i-odd-{n}"), odd.as_bytes());
    }
    fleet.store.put(
        "servers",
        "i-\u{7f}\n",
        entry("127.0.0.1:9", "2", "").as_bytes(),
    );
    std::thread::sleep(Duration::from_secs(2));
    fleet.targets[0].register(&fleet.store, "draining");
    std::thread::sleep(Duration::from_secs(3));
    for i in 0..4 {
        assert!(fleet.daemons[i].is_running(), "daemon {i} ended");
        let id = format!("odd-{i}");
        for _ in 0..8 {
            let reply = fleet.request(i, "key-big", "GET", "/one/x", &id);
            assert_eq!(reply.expect("a response").status, 200, "daemon {i}");
        }
        let late = fleet.targets[0].runs().iter().any(|r| r.request_id == id);
        assert!(!late, "daemon {i} does not follow the list any more");
    }
    fleet.daemons[0].restart().expect("restarted");
    fleet
        .wait_serving()
        .expect("a restarted daemon serves beside odd entries");
}
