//! What callers are told against what the targets ran, under faults.

mod env;
mod reconcile;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use reconcile::{disturb, mismatches, CallerRecord, Driver};

/// Requests of each thread.
const REQUESTS: u32 = 800;
/// Threads that send requests.
const THREADS: u64 = 8;
/// Seed of the choice of faults.
const SEED: u64 = 1;

#[test]
fn outcomes_told_agree_with_what_targets_ran() {
    let mut opts = env::options();
    opts.daemons = 3;
    opts.services = vec![("catalogue".into(), 5)];
    opts.work = Duration::from_millis(5);
    opts.settings = serde_json::json!({"limiter": "static_split", "limits": {"deadline_ms": 1000}});
    let mut cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
    let addresses: Vec<_> = cluster.daemons.iter().map(|d| d.caller_address).collect();
    let done = AtomicBool::new(false);
    let mut told: Vec<CallerRecord> = Vec::new();
    thread::scope(|s| {
        let drivers: Vec<_> = (0..THREADS)
            .map(|seed| {
                let mut driver = Driver::new(addresses.clone(), &key, seed);
                s.spawn(move || driver.run(REQUESTS))
            })
            .collect();
        let disturber = s.spawn(|| disturb(&mut cluster, &done, SEED));
        for driver in drivers {
            told.extend(driver.join().expect("the driver ends"));
        }
        done.store(true, Ordering::SeqCst);
        disturber.join().expect("the disturber ends");
    });
    thread::sleep(Duration::from_millis(500));
    let log: Vec<_> = cluster
        .targets
        .iter()
        .flat_map(standins::Target::log)
        .collect();
    let found = mismatches(&told, &log);
    for mismatch in &found {
        println!("{mismatch}");
    }
    let count = |outcome: &str| told.iter().filter(|t| t.outcome == outcome).count();
    println!(
        "{} told: {} answers, {} not run, {} unknown, {} without an answer; {} runs",
        told.len(),
        count("answer"),
        count("not-run"),
        count("unknown"),
        count(""),
        log.len()
    );
    let mut reasons = std::collections::BTreeMap::new();
    for one in &told {
        *reasons.entry(one.reason.as_str()).or_insert(0) += 1;
    }
    println!("{reasons:?}");
    assert!(found.is_empty());
    assert!(
        count("answer") * 2 > told.len(),
        "too few answers to compare"
    );
    assert!(count("answer") > 0 && count("not-run") > 0 && count("unknown") > 0);
}
