//! Rates and bursts over a fleet of real daemons, through kills, pauses and outages.
//!
//! Each request was admitted between when it was sent and when its answer came, so that for
//! all points of time a < b those sent after a and answered before b are at most
//! burst + rate * (b - a). No tolerance is needed, however slow the machine is.

mod env;
#[path = "limit/load.rs"]
mod load;

use std::{thread, time::Duration};

use load::{Load, Sent};
use standins::{Cluster, ClusterOptions};

const SERVICE_SLOTS: u32 = 64;

fn fleet(daemons: usize) -> ClusterOptions {
    ClusterOptions {
        daemons,
        slots: SERVICE_SLOTS,
        ..env::options()
    }
}

/// Waits until the daemons own all slices.
fn settled(cluster: &Cluster) {
    let owned = env::eventually(Duration::from_secs(20), || {
        let first = cluster.platform.row("limit_slices", "0000-0");
        let last = cluster.platform.row("limit_slices", "0255-2");
        first.is_some() && last.is_some()
    });
    assert!(owned, "the slices have no owners");
}

/// Panics when more ran in some interval than the plan allows.
fn assert_within_plan(cluster: &Cluster, sent: &[Sent], rate: f64, burst: f64) {
    let ran = load::runs(cluster, sent);
    assert!(!ran.is_empty());
    if let Some(over) = load::over_plan(&ran, rate, burst) {
        panic!(
            "over the plan of {rate}/s and {burst}: {} in {} s",
            over.ran, over.seconds
        );
    }
}

#[test]
fn one_daemon_serves_alone() {
    let cluster = env::start(fleet(1));
    let key = env::workspace(&cluster, "parish", 50.0, 20);
    settled(&cluster);
    let load = Load::start(&cluster, &key, 150.0, 1);
    thread::sleep(Duration::from_secs(3));
    let sent = load.finish();
    assert_within_plan(&cluster, &sent, 50.0, 20.0);
}

#[test]
fn workspace_within_its_rate_is_hardly_refused() {
    let cluster = env::start(fleet(6));
    settled(&cluster);
    let key = env::workspace(&cluster, "parish", 100.0, 50);
    let load = Load::start(&cluster, &key, 50.0, 2);
    thread::sleep(Duration::from_secs(6));
    let sent = load.finish();
    let refused = sent.iter().filter(|s| s.status != Some(200)).count();
    assert!(sent.len() >= 150, "{} sent", sent.len());
    assert!(
        refused * 20 <= sent.len(),
        "{refused} refused of {}",
        sent.len()
    );
    assert_within_plan(&cluster, &sent, 100.0, 50.0);
}

#[test]
fn plan_holds_through_kills_pauses_and_outages() {
    let mut cluster = env::start(fleet(6));
    settled(&cluster);
    let key = env::workspace(&cluster, "parish", 40.0, 30);
    let load = Load::start(&cluster, &key, 200.0, 3);
    thread::sleep(Duration::from_secs(1));
    for (killed, paused) in [(0, 1), (2, 3)] {
        cluster.daemons[paused].signal("STOP");
        cluster.daemons[killed].kill();
        thread::sleep(Duration::from_secs(7));
        cluster.platform.set_faults(|f| f.down = true);
        cluster.daemons[paused].signal("CONT");
        thread::sleep(Duration::from_secs(6));
        cluster.platform.set_faults(|f| f.down = false);
        thread::sleep(Duration::from_secs(2));
    }
    let sent = load.finish();
    assert_within_plan(&cluster, &sent, 40.0, 30.0);
}

#[test]
fn shutdown_hands_levels_over() {
    let mut cluster = env::start(fleet(3));
    settled(&cluster);
    let key = env::workspace(&cluster, "parish", 5.0, 60);
    let load = Load::start(&cluster, &key, 60.0, 4);
    thread::sleep(Duration::from_millis(500));
    for i in 0..2 {
        cluster.daemons[i].signal("TERM");
        let code = cluster.daemons[i].wait_exit(Duration::from_secs(30));
        assert_eq!(code, Some(0));
    }
    thread::sleep(Duration::from_secs(2));
    let sent = load.finish();
    assert_within_plan(&cluster, &sent, 5.0, 60.0);
}
