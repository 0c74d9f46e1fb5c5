//! Open connections that went silent while new ones work.

mod env;

use std::{
    thread,
    time::{Duration, Instant},
};

use standins::{Client, Cluster};

/// Callers at the same time.
const CALLERS: usize = 8;
/// Longest time to an answer, far below the deadline of 10 s that a silent connection would cost.
const BOUND: Duration = Duration::from_secs(3);

/// Sends `count` requests from each caller; returns the longest time to an answer.
fn load(cluster: &Cluster, key: &str, method: &str, count: usize) -> Duration {
    let bearer = format!("Bearer {key}");
    let address = cluster.daemons[0].caller_address;
    let drive = || {
        let mut client = Client::connect(address, Duration::from_secs(20)).expect("a connection");
        let mut longest = Duration::ZERO;
        for _ in 0..count {
            let begin = Instant::now();
            let headers = [("authorization", bearer.as_str())];
            let reply = client.send(method, "/catalogue/item", &headers, b"");
            let reply = reply.expect("an answer");
            assert_eq!(reply.status, 200, "{}", reply.text());
            longest = longest.max(begin.elapsed());
        }
        longest
    };
    thread::scope(|s| {
        let callers: Vec<_> = (0..CALLERS).map(|_| s.spawn(drive)).collect();
        let longest = callers
            .into_iter()
            .map(|c| c.join().expect("the caller ends"));
        longest.max().unwrap_or_default()
    })
}

#[test]
fn requests_leave_connections_that_went_silent() {
    struct Case {
        method: &'static str,
    }
    let cases = [Case { method: "GET" }, Case { method: "POST" }];
    for case in cases {
        let mut opts = env::options();
        opts.services = vec![("catalogue".into(), 4)];
        let cluster = env::start(opts);
        let key = env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
        load(&cluster, &key, "GET", 50);
        for target in &cluster.targets {
            target.silence_open_connections();
        }
        let longest = load(&cluster, &key, case.method, 50);
        assert!(longest < BOUND, "{}: {longest:?}", case.method);
        let status = cluster.daemons[0].status(cluster.operator_token());
        let ejections = status["counters"]["ejections"].as_u64();
        assert_eq!(ejections, Some(0), "{}", case.method);
    }
}
