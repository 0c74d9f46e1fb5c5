//! What callers are told against what the targets ran, under faults.

mod env;
mod reconcile;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use reconcile::{mismatches, Driver, Told};
use standins::{Cluster, TargetFaults};

/// Requests of each thread.
const REQUESTS: u32 = 800;
/// Threads that send requests.
const THREADS: u64 = 8;
/// Time between two changes of faults.
const STEP: Duration = Duration::from_millis(60);
/// Faults that are on at a time.
const FAULTS_AT_ONCE: usize = 4;
/// Seed of the choice of faults.
const SEED: u64 = 1;

/// Switches one fault on, or kills a target or a daemon.
fn disturb_once(cluster: &mut Cluster, random: &mut fastrand::Rng) {
    let target = &cluster.targets[random.usize(0..cluster.targets.len())];
    match random.u8(0..8) {
        0 => target.set_faults(|f| f.die_after_run = true),
        1 => target.set_faults(|f| f.die_in_body = true),
        2 => target.set_faults(|f| f.shed = true),
        3 => target.silence_open_connections(),
        4 => target.set_faults(|f| f.slow_ms = 400),
        5 => target.kill(),
        6 => {
            let i = random.usize(0..cluster.daemons.len());
            cluster.daemons[i].restart().expect("the daemon starts");
        }
        _ => cluster.platform.set_faults(|f| f.lose_write_answers = 3),
    }
}

/// Ends the faults, and starts killed targets again; connections that are silent stay so.
fn mend(cluster: &Cluster) {
    for target in &cluster.targets {
        target.set_faults(|f| {
            *f = TargetFaults {
                silent_up_to_connection: f.silent_up_to_connection,
                ..TargetFaults::default()
            };
        });
        if target.is_dead() {
            target.restart().expect("the target starts again");
        }
    }
}

/// Disturbs the fleet until `done`.
fn disturb(cluster: &mut Cluster, done: &AtomicBool) {
    let mut random = fastrand::Rng::with_seed(SEED);
    while !done.load(Ordering::SeqCst) {
        for _ in 0..FAULTS_AT_ONCE {
            disturb_once(cluster, &mut random);
        }
        thread::sleep(STEP);
        mend(cluster);
    }
}

#[test]
fn outcomes_told_agree_with_what_targets_ran() {
    let mut opts = env::options();
    opts.daemons = 3;
    opts.services = vec![("catalogue".into(), 5)];
    opts.work = Duration::from_millis(5);
    opts.settings = serde_json::json!({"limits": {"deadline_ms": 1000}});
    let mut cluster = env::start(opts);
    let key = env::workspace(&cluster, "parish", 1e6, 1_000_000);
    let addresses: Vec<_> = cluster.daemons.iter().map(|d| d.caller_address).collect();
    let done = AtomicBool::new(false);
    let mut told: Vec<Told> = Vec::new();
    thread::scope(|s| {
        let drivers: Vec<_> = (0..THREADS)
            .map(|seed| {
                let mut driver = Driver::new(addresses.clone(), &key, seed);
                s.spawn(move || driver.run(REQUESTS))
            })
            .collect();
        let disturber = s.spawn(|| disturb(&mut cluster, &done));
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
    assert!(found.is_empty());
    assert!(count("answer") > 0 && count("not-run") > 0 && count("unknown") > 0);
}
