//! Random injection of faults into targets, daemons and the table.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use standins::{Cluster, TargetFaults};

/// Time for which a set of faults is active.
const FAULT_DURATION: Duration = Duration::from_millis(60);
/// Faults that are active at a time.
const CONCURRENT_FAULTS: usize = 4;

/// Injects one fault, cuts a daemon off from the platform, or kills a target or a daemon.
fn inject_fault(cluster: &mut Cluster, random: &mut fastrand::Rng) {
    let target = &cluster.targets[random.usize(0..cluster.targets.len())];
    match random.u8(0..9) {
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
        7 => cluster.platform.set_faults(|f| f.lose_write_answers = 3),
        _ => {
            let i = random.usize(0..cluster.daemons.len());
            let host = cluster.daemons[i].host.clone();
            cluster.platform.set_faults(|f| f.cut_off.push(host));
        }
    }
}

/// Clears the faults and restarts killed targets; silent connections stay silent.
fn clear_faults(cluster: &Cluster) {
    cluster.platform.set_faults(|f| f.cut_off.clear());
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

/// Injects faults into the fleet until `done` is set.
pub(crate) fn disturb(cluster: &mut Cluster, done: &AtomicBool, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    while !done.load(Ordering::SeqCst) {
        for _ in 0..CONCURRENT_FAULTS {
            inject_fault(cluster, &mut random);
        }
        thread::sleep(FAULT_DURATION);
        clear_faults(cluster);
    }
}
