//! Poison requests in a real fleet.

mod env;

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use standins::{Client, Cluster, Reply, Target};

fn get(cluster: &Cluster, daemon: usize, key: &str, path: &str) -> Reply {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let address = cluster.daemons[daemon].caller_address;
    Client::send_once(address, "GET", path, &headers, b"").expect("no response")
}

/// Returns the reason of a request for `path` that no target answered; `None` if one did.
fn refusal_reason(cluster: &Cluster, daemon: usize, key: &str, path: &str) -> Option<String> {
    let reply = get(cluster, daemon, key, path);
    let json = (reply.status != 200).then(|| reply.json())?;
    let reason = json["reason"].as_str().unwrap_or_default().to_owned();
    if reason.starts_with("crash") {
        assert_eq!(reply.header("chervillug-outcome"), Some("not-run"));
    }
    Some(reason)
}

/// Guards against a poison request that goes on killing targets, and against the ejection of
/// targets for it.
#[test]
fn repeated_poison_request_kills_three_targets_and_ejects_none() {
    let mut opts = env::options();
    opts.daemons = 6;
    opts.services = vec![("catalogue".into(), 6)];
    let cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    for target in &cluster.targets {
        target.set_faults(|f| f.crash_on = Some("crash".into()));
    }
    let dead = || cluster.targets.iter().filter(|t| t.is_dead()).count();
    let crash =
        |i: usize| refusal_reason(&cluster, i % 6, &key, "/catalogue/crash").expect("an answer");
    let mut refused = 0;
    for i in 0..60 {
        let reason = crash(i);
        refused += usize::from(reason == "crash_suspected");
        assert!(
            ["crash_suspected", "target_lost"].contains(&&*reason),
            "{reason}"
        );
    }
    assert_eq!(dead(), 2, "{refused} refused");
    assert!(refused >= 58);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(crash(0), "target_lost");
    for i in 0..60 {
        assert_eq!(crash(i), "crashes_targets");
    }
    thread::sleep(Duration::from_secs(4));
    for i in 0..6 {
        let reply = get(&cluster, i, &key, "/catalogue/crash");
        assert_eq!(reply.status, 422, "{}", reply.text());
    }
    assert_eq!(dead(), 3);
    for target in cluster.targets.iter().filter(|t| t.is_dead()) {
        target.restart().expect("target did not restart");
    }
    thread::sleep(Duration::from_millis(100));
    for i in 0..180 {
        let reply = get(&cluster, i % 6, &key, "/catalogue/good");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert!(cluster.targets.iter().all(|t| runs_of_good(t) > 0));
}

/// Guards against the refusal, by the whole fleet and for minutes, of a page that is rarely sent and
/// whose target crashed twice in a row for another reason.
#[test]
fn rare_page_that_meets_two_crashes_in_a_row_is_served_again() {
    let mut opts = env::options();
    opts.daemons = 3;
    opts.work = Duration::from_millis(400);
    opts.services = vec![("catalogue".into(), 6)];
    let cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    thread::scope(|scope| {
        let caller = scope.spawn(|| refusal_reason(&cluster, 0, &key, "/catalogue/rare"));
        for _ in 0..2 {
            kill_target_at_work(&cluster, "/catalogue/rare");
        }
        let reason = caller.join().expect("caller failed");
        assert_eq!(reason.as_deref(), Some("target_lost"));
    });
    for i in 0..3 {
        let reason = refusal_reason(&cluster, i, &key, "/catalogue/rare");
        assert_eq!(reason.as_deref(), Some("crash_suspected"));
    }
    thread::sleep(Duration::from_millis(3100));
    // One test at a time: the others are told to come back.
    let reasons: Vec<_> = thread::scope(|scope| {
        let read = |i| refusal_reason(&cluster, i, &key, "/catalogue/rare");
        let callers: Vec<_> = (0..3)
            .map(|i| {
                thread::sleep(Duration::from_millis(50));
                scope.spawn(move || read(i))
            })
            .collect();
        let results = callers
            .into_iter()
            .map(|c| c.join().expect("caller failed"));
        results.collect()
    });
    let held_back = Some("crash_suspected".to_owned());
    assert_eq!(reasons, [None, held_back.clone(), held_back]);
    for i in 0..3 {
        let reason = refusal_reason(&cluster, i, &key, "/catalogue/rare");
        assert_eq!(reason, None);
    }
}

/// Waits until a target works on a request for `path`, and kills it.
fn kill_target_at_work(cluster: &Cluster, path: &str) {
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        let has_path = |t: &&Target| t.log().iter().any(|r| r.path == path);
        let mut alive = cluster.targets.iter().filter(|t| !t.is_dead());
        if let Some(target) = alive.find(has_path) {
            target.kill();
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("no target works on a request");
}

/// Guards against the refusal of a page by the whole fleet because two targets crashed, for another
/// reason and at the same time, while each had a request for it at work.
#[test]
fn page_at_work_on_two_targets_that_crash_at_once_is_not_refused() {
    const CALLERS: usize = 12;
    let mut opts = env::options();
    opts.daemons = 6;
    opts.work = Duration::from_millis(200);
    opts.services = vec![("catalogue".into(), 8)];
    let cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let read_page = |caller: usize| -> Vec<Reply> {
        let send = |_| get(&cluster, caller % 6, &key, "/catalogue/page");
        (0..15).map(send).collect()
    };
    let replies: Vec<Reply> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|i| scope.spawn(move || read_page(i)))
            .collect();
        thread::sleep(Duration::from_millis(1500));
        let mut busy: Vec<&Target> = cluster.targets.iter().collect();
        busy.sort_by_key(|t| std::cmp::Reverse(t.log().last().map(|r| r.at_ms)));
        busy[0].kill();
        busy[1].kill();
        let results = callers
            .into_iter()
            .map(|c| c.join().expect("caller failed"));
        results.flatten().collect()
    });
    let refused = |r: &&Reply| {
        ["crash_suspected", "crashes_targets"]
            .iter()
            .any(|n| r.text().contains(n))
    };
    assert_eq!(replies.iter().filter(refused).count(), 0);
    let crashes: usize = cluster
        .daemons
        .iter()
        .map(|d| {
            fs::read_to_string(&d.log_path)
                .unwrap_or_default()
                .matches("crashed while processing")
                .count()
        })
        .sum();
    assert!(crashes >= 2, "{crashes} crashes seen");
    for i in 0..6 {
        let reply = get(&cluster, i, &key, "/catalogue/page");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
}

fn runs_of_good(target: &Target) -> usize {
    let log = target.log();
    log.iter().filter(|r| r.path == "/catalogue/good").count()
}
