//! Established connections that go silent while new connections work.

mod env;

use std::{
    thread,
    time::{Duration, Instant},
};

use standins::{Client, Cluster};

/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Maximum response time, well below the deadline of 10 s that is reached on a silent connection.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(3);

/// Sends `count` requests from each caller; returns the longest response time.
fn load(cluster: &Cluster, key: &str, method: &str, count: usize) -> Duration {
    let bearer = format!("Bearer {key}");
    let address = cluster.daemons[0].caller_address;
    let drive = || {
        let mut client = Client::connect(address, Duration::from_secs(20)).expect("connect failed");
        let mut longest = Duration::ZERO;
        for _ in 0..count {
            let start = Instant::now();
            let headers = [("authorization", bearer.as_str())];
            let reply = client.send(method, "/catalogue/item", &headers, b"");
            let reply = reply.expect("no response");
            assert_eq!(reply.status, 200, "{}", reply.text());
            longest = longest.max(start.elapsed());
        }
        longest
    };
    thread::scope(|s| {
        let callers: Vec<_> = (0..CALLERS).map(|_| s.spawn(drive)).collect();
        let longest = callers
            .into_iter()
            .map(|c| c.join().expect("caller panicked"));
        longest.max().unwrap_or_default()
    })
}

#[test]
fn requests_abandon_silent_connections() {
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
        assert!(longest < MAX_RESPONSE_TIME, "{}: {longest:?}", case.method);
        let status = cluster.daemons[0].status(cluster.operator_token());
        let ejections = status["counters"]["ejections"].as_u64();
        assert_eq!(ejections, Some(0), "{}", case.method);
    }
}
