//! Rates and bursts over a fleet of real daemons, through kills, pauses and outages.
//!
//! Each request was admitted between when it was sent and when its answer came, so that for
//! all points of time a < b those sent after a and answered before b are at most
//! burst + rate * (b - a). No tolerance is needed, however slow the machine is.

mod env;
#[path = "limit/load.rs"]
mod load;

use std::{collections::BTreeSet, thread, time::Duration};

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
        owners(cluster).len() == SLICES_PER_PARTITION
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
    let key = env::add_workspace(&cluster, "parish", 50.0, 20);
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
    let key = env::add_workspace(&cluster, "parish", 100.0, 50);
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
    let key = env::add_workspace(&cluster, "parish", 40.0, 30);
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
    let key = env::add_workspace(&cluster, "parish", 5.0, 60);
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

/// Time of an outage that outlasts the short term of leases.
const OUTAGE: Duration = Duration::from_secs(8);
/// Count of all slices.
const SLICES_PER_PARTITION: usize = 768;
/// Parts of a whole slice.
const SLICE_PARTS: u64 = 1 << 20;

/// Returns the rows of all slices.
fn slice_rows(cluster: &Cluster) -> Vec<serde_json::Value> {
    let keys = (0..256).flat_map(|p| (0..3).map(move |i| format!("{p:04}-{i}")));
    keys.filter_map(|key| cluster.platform.row("limit_slices", &key))
        .collect()
}

/// Returns the sessions of `host` that own slices.
fn sessions_of(cluster: &Cluster, host: &str) -> BTreeSet<String> {
    let rows = slice_rows(cluster);
    let owners = rows.iter().filter_map(|row| row["owner"].as_str());
    let prefix = format!("{host}/");
    owners
        .filter(|owner| owner.starts_with(&prefix))
        .map(str::to_owned)
        .collect()
}

/// Tells whether every slice has an owner other than the `dead`, who may use all of it.
fn all_slices_whole(cluster: &Cluster, dead: &BTreeSet<String>) -> bool {
    slice_rows(cluster).iter().all(|row| is_whole(row, dead))
}

fn is_whole(row: &serde_json::Value, dead: &BTreeSet<String>) -> bool {
    let portions = row["portions"].as_array().into_iter().flatten();
    let ends = portions.filter_map(|p| Some((p["from"].as_u64()?, p["to"].as_u64()?)));
    let parts: u64 = ends.map(|(from, to)| to - from).sum();
    let owner = row["owner"].as_str().unwrap_or_default();
    parts == SLICE_PARTS && row["residues"] == serde_json::json!([]) && !dead.contains(owner)
}

#[test]
fn restarted_daemons_free_what_their_predecessors_kept() {
    let mut cluster = env::start(fleet(3));
    settled(&cluster);
    let key = env::add_workspace(&cluster, "parish", 50.0, 20);
    let load = Load::start(&cluster, &key, 150.0, 5);
    let mut dead = BTreeSet::new();
    for i in [0, 1, 2, 0] {
        dead.extend(sessions_of(&cluster, &cluster.daemons[i].host));
        cluster.daemons[i].restart().expect("the daemon starts");
        assert!(cluster.daemons[i].wait_ready(Duration::from_secs(20)));
    }
    assert!(!dead.is_empty(), "the killed processes owned slices");
    let whole = env::eventually(Duration::from_secs(30), || {
        all_slices_whole(&cluster, &dead)
    });
    let sent = load.finish();
    assert!(whole, "slices are still kept by killed processes");
    assert_within_plan(&cluster, &sent, 50.0, 20.0);
}

#[test]
fn host_that_the_list_dropped_frees_what_it_kept() {
    let mut cluster = env::start(fleet(3));
    settled(&cluster);
    let host = cluster.daemons[0].host.clone();
    let dead = sessions_of(&cluster, &host);
    assert!(!dead.is_empty(), "the killed process owned slices");
    cluster.daemons[0].kill();
    cluster.platform.remove_host(&host);
    let whole = env::eventually(Duration::from_secs(40), || {
        all_slices_whole(&cluster, &dead)
    });
    assert!(whole, "slices are still kept by the dropped host");
}

/// Returns the owner of every slice.
fn owners(cluster: &Cluster) -> Vec<String> {
    let rows = slice_rows(cluster);
    let owners = rows.iter().filter_map(|row| row["owner"].as_str());
    owners.map(str::to_owned).collect()
}

#[test]
fn outage_of_the_table_changes_no_owner() {
    let cluster = env::start(fleet(6));
    settled(&cluster);
    let before = owners(&cluster);
    cluster.platform.set_faults(|f| f.down = true);
    thread::sleep(OUTAGE);
    cluster.platform.set_faults(|f| f.down = false);
    thread::sleep(OUTAGE);
    let after = owners(&cluster);
    let kept = before.iter().zip(&after).filter(|(b, a)| b == a).count();
    assert_eq!(kept, before.len(), "of {} slices", before.len());
}
