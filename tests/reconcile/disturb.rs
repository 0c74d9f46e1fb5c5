//! Faults of targets, daemons and the table, switched at random.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use standins::{Cluster, TargetFaults};

/// Time between two changes of faults.
const STEP: Duration = Duration::from_millis(60);
/// Faults that are on at a time.
const FAULTS_AT_ONCE: usize = 4;

/// Switches one fault on, cuts a daemon off from the platform, or kills a target or a daemon.
fn disturb_once(cluster: &mut Cluster, random: &mut fastrand::Rng) {
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

/// Ends the faults, and starts killed targets again; connections that are silent stay so.
fn mend(cluster: &Cluster) {
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

/// Disturbs the fleet until `done`.
pub(crate) fn disturb(cluster: &mut Cluster, done: &AtomicBool, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    while !done.load(Ordering::SeqCst) {
        for _ in 0..FAULTS_AT_ONCE {
            disturb_once(cluster, &mut random);
        }
        thread::sleep(STEP);
        mend(cluster);
    }
}
