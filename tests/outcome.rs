//! Reported outcomes compared with the runs at the targets, under fault injection.

mod env;
mod reconcile;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use reconcile::{disturb, mismatches, CallerRecord, Driver};

/// Number of requests per thread.
const REQUESTS: u32 = 800;
/// Number of threads that send requests.
const THREADS: u64 = 8;
/// Seed for the choice of faults.
const SEED: u64 = 1;

#[test]
fn reported_outcomes_agree_with_runs_at_targets() {
    let mut opts = env::options();
    opts.daemons = 3;
    opts.services = vec![("catalogue".into(), 5)];
    opts.work = Duration::from_millis(5);
    opts.settings = serde_json::json!({"limiter": "static_split", "limits": {"deadline_ms": 1000}});
    let mut cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
    let addresses: Vec<_> = cluster.daemons.iter().map(|d| d.caller_address).collect();
    let done = AtomicBool::new(false);
    let mut records: Vec<CallerRecord> = Vec::new();
    thread::scope(|s| {
        let drivers: Vec<_> = (0..THREADS)
            .map(|seed| {
                let mut driver = Driver::new(addresses.clone(), &key, seed);
                s.spawn(move || driver.run(REQUESTS))
            })
            .collect();
        let fault_injector = s.spawn(|| disturb(&mut cluster, &done, SEED));
        for driver in drivers {
            records.extend(driver.join().expect("driver panicked"));
        }
        done.store(true, Ordering::SeqCst);
        fault_injector.join().expect("fault injector panicked");
    });
    thread::sleep(Duration::from_millis(500));
    let log: Vec<_> = cluster
        .targets
        .iter()
        .flat_map(standins::Target::log)
        .collect();
    let found = mismatches(&records, &log);
    for mismatch in &found {
        println!("{mismatch}");
    }
    let count = |outcome: &str| records.iter().filter(|t| t.outcome == outcome).count();
    println!(
        "{} reported: {} answers, {} not run, {} unknown, {} without a response; {} runs",
        records.len(),
        count("answer"),
        count("not-run"),
        count("unknown"),
        count(""),
        log.len()
    );
    let mut reasons = std::collections::BTreeMap::new();
    for entry in &records {
        *reasons.entry(entry.reason.as_str()).or_insert(0) += 1;
    }
    println!("{reasons:?}");
    assert!(found.is_empty());
    assert!(
        count("answer") * 2 > records.len(),
        "too few answers for a comparison"
    );
    assert!(count("answer") > 0 && count("not-run") > 0 && count("unknown") > 0);
}
