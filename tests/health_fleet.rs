//! Daemons stop sending requests to targets that fail, drain or leave.

mod env;

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use standins::{Cluster, ClusterOptions, Target};

/// Timeout for changes to take effect in the platform and the fleet, also on a busy host.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a leaving target must stop receiving new requests.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(3);

fn options(daemons: usize, targets: usize) -> ClusterOptions {
    let mut opts = env::options();
    opts.daemons = daemons;
    opts.services = vec![("catalogue".into(), targets)];
    opts
}

/// Sends one request through each daemon.
fn send_round(cluster: &Cluster, key: &str) {
    for i in 0..cluster.daemons.len() {
        let _ = cluster.request(i, key, "GET", "/catalogue/item");
    }
}

fn suspicion(cluster: &Cluster, daemon: usize, target: &str) -> f64 {
    let status = cluster.daemons[daemon].status(cluster.operator_token());
    let targets = status["targets"].as_array().cloned().unwrap_or_default();
    let found = targets.iter().find(|t| t["name"] == target);
    found.and_then(|t| t["suspicion"].as_f64()).unwrap_or(0.0)
}

fn is_ejected_everywhere(cluster: &Cluster, target: &str) -> bool {
    (0..cluster.daemons.len()).all(|i| suspicion(cluster, i, target) >= 1.0)
}

#[test]
fn gray_target_is_ejected_and_readmitted() {
    let cluster = env::start(options(1, 5));
    let key = env::add_workspace(&cluster, "parish", 10_000.0, 10_000);
    (0..100).for_each(|_| send_round(&cluster, &key));
    let bad: &Target = &cluster.targets[0];
    bad.set_faults(|f| f.fail_share = 1.0);
    let ejected = env::eventually(CONVERGENCE_TIMEOUT, || {
        (0..10).for_each(|_| send_round(&cluster, &key));
        is_ejected_everywhere(&cluster, "catalogue-0")
    });
    assert!(
        ejected,
        "a target that fails all requests but passes probes should be ejected"
    );
    assert!((1..5).all(|i| suspicion(&cluster, 0, &format!("catalogue-{i}")) < 1.0));
    bad.set_faults(|f| f.fail_share = 0.0);
    let readmitted = env::eventually(CONVERGENCE_TIMEOUT * 2, || {
        (0..10).for_each(|_| send_round(&cluster, &key));
        !is_ejected_everywhere(&cluster, "catalogue-0")
    });
    assert!(readmitted, "a recovered target should be readmitted");
}

#[test]
fn suspicions_of_peers_put_target_on_trial() {
    let cluster = env::start(options(6, 5));
    let key = env::add_workspace(&cluster, "parish", 10_000.0, 10_000);
    (0..40).for_each(|_| send_round(&cluster, &key));
    let bad = &cluster.targets[0];
    bad.set_faults(|f| f.fail_share = 1.0);
    let on_trial = env::eventually(CONVERGENCE_TIMEOUT, || {
        for i in 0..5 {
            let _ = cluster.request(i, &key, "GET", "/catalogue/item");
        }
        suspicion(&cluster, 5, "catalogue-0") >= 1.0
    });
    assert!(
        on_trial,
        "a daemon without evidence of its own should put the target on trial"
    );
    assert!((1..5).all(|t| suspicion(&cluster, 5, &format!("catalogue-{t}")) < 1.0));
}

#[test]
fn leaving_target_receives_no_new_requests() {
    /// Source of the information that the target is leaving.
    enum Source {
        List,
        Target,
    }
    struct Case {
        name: &'static str,
        source: Source,
    }
    let cases = [
        Case {
            name: "list",
            source: Source::List,
        },
        Case {
            name: "target",
            source: Source::Target,
        },
    ];
    let cluster = env::start(options(2, 3));
    let key = env::add_workspace(&cluster, "parish", 10_000.0, 10_000);
    for (i, case) in cases.iter().enumerate() {
        let target = &cluster.targets[i];
        let begin = Instant::now();
        match case.source {
            Source::List => cluster.platform.mark_leaving(&target.options().name),
            Source::Target => target.set_faults(|f| f.draining = true),
        }
        while begin.elapsed() < LEAVING_TIMEOUT {
            send_round(&cluster, &key);
            thread::sleep(Duration::from_millis(5));
        }
        let runs = target.runs();
        (0..50).for_each(|_| send_round(&cluster, &key));
        assert_eq!(target.runs(), runs, "{}", case.name);
    }
    let target = &cluster.targets[1];
    target.set_faults(|f| f.draining = false);
    let runs = target.runs();
    let serves_again = env::eventually(CONVERGENCE_TIMEOUT, || {
        send_round(&cluster, &key);
        target.runs() > runs
    });
    assert!(
        serves_again,
        "a target that is no longer draining should receive requests"
    );
}

#[test]
fn requests_to_busy_target_wait_and_refused_ones_never_run() {
    let mut opts = options(1, 1);
    opts.slots = 1;
    opts.settings = json!({"limits": {"deadline_ms": 1000}});
    let cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 10_000.0, 10_000);
    let target = &cluster.targets[0];
    target.set_faults(|f| f.slow_ms = 400);
    let runs = target.runs();
    let replies: Vec<_> = thread::scope(|scope| {
        let send = || cluster.request(0, &key, "GET", "/catalogue/item");
        let threads: Vec<_> = (0..8).map(|_| scope.spawn(send)).collect();
        threads.into_iter().map(|t| t.join()).collect()
    });
    let replies: Vec<_> = replies
        .into_iter()
        .filter_map(|r| r.ok().and_then(Result::ok))
        .collect();
    assert_eq!(replies.len(), 8);
    let count = |outcome: &str| {
        let matching = replies
            .iter()
            .filter(|r| r.header("chervillug-outcome") == Some(outcome));
        matching.count()
    };
    let not_run = count("not-run");
    assert!(
        not_run >= 1,
        "a slot with time for 2 to 3 requests should not serve 8"
    );
    let settled = env::eventually(CONVERGENCE_TIMEOUT, || target.runs() - runs == 8 - not_run);
    assert!(
        settled,
        "all requests but those reported as not run should have run"
    );
    let log = target.log();
    for reply in &replies {
        let id = reply.header("chervillug-request-id").expect("an id");
        let ran = log.iter().any(|w| w.request_id == id);
        let reported_not_run = reply.header("chervillug-outcome") == Some("not-run");
        assert_ne!(ran, reported_not_run, "{id}");
    }
}
