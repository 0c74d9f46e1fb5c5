//! Freshness proofs of the configuration that entry daemons accept from each other.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use chervillug::{clock::BootTime, follow::ReaderSelector};
use standins::{configuration, EntryFleet};

/// Time within which a configuration must be in effect on all daemons.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Maximum time for which a withdrawn key may be accepted.
const MAX_KEY_WITHDRAWAL: Duration = Duration::from_secs(5);

/// Number of daemons in the tests that count store calls.
const DAEMONS: usize = 24;
/// Maximum rate of store calls of a daemon on a day without changes, 1/s.
const MAX_CALLS_PER_S: f64 = 0.3;

fn start(daemons: usize) -> EntryFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let fleet = EntryFleet::start(program, daemons).expect("the fleet starts");
    sleep(Duration::from_secs(3));
    fleet
}

fn status(fleet: &EntryFleet, i: usize, key: &str) -> u16 {
    let reply = fleet.request(i, key, "GET", "/one/x", "status");
    reply.map_or(0, |r| r.status)
}

/// Publishes a configuration without the key `key-big-2`.
fn withdraw(fleet: &EntryFleet, version: u64) {
    let mut cfg = configuration(version);
    cfg["tenants"]["big"]["apiKeys"] = serde_json::json!(["key-big"]);
    fleet.publish_configuration(&cfg);
}

#[test]
fn configuration_takes_effect_on_all_daemons() {
    let fleet = start(8);
    withdraw(&fleet, 2);
    sleep(PROPAGATION_LIMIT);
    for i in 0..8 {
        assert_eq!(status(&fleet, i, "key-big-2"), 401, "daemon {i}");
        assert_eq!(status(&fleet, i, "key-big"), 200, "daemon {i}");
    }
}

#[test]
fn daemons_keep_serving_and_receive_changes_after_readers_are_killed() {
    for first in 0..2 {
        let mut fleet = start(8);
        // Kills three of the four daemons of one data centre, whichever of them are readers.
        for i in (first..first + 6).step_by(2) {
            fleet.daemons[i].kill();
        }
        sleep(Duration::from_secs(1));
        let survivor = first + 6;
        let started = Instant::now();
        while started.elapsed() < MAX_KEY_WITHDRAWAL {
            assert_eq!(
                status(&fleet, survivor, "key-big"),
                200,
                "{:?}",
                started.elapsed()
            );
            sleep(Duration::from_millis(100));
        }
        withdraw(&fleet, 2);
        sleep(PROPAGATION_LIMIT);
        assert_eq!(status(&fleet, survivor, "key-big-2"), 401);
    }
}

#[test]
fn withdrawn_key_is_rejected_while_other_daemons_are_stopped() {
    let fleet = start(8);
    for i in 0..4 {
        fleet.daemons[i].signal("STOP");
    }
    withdraw(&fleet, 2);
    sleep(MAX_KEY_WITHDRAWAL);
    for i in 4..8 {
        assert_ne!(status(&fleet, i, "key-big-2"), 200, "daemon {i}");
    }
    for i in 0..4 {
        fleet.daemons[i].signal("CONT");
        assert_ne!(status(&fleet, i, "key-big-2"), 200, "daemon {i}");
    }
}

/// Time after which a leaving target must not receive work.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the indices of the readers of data centre `a`, in order of preference.
fn readers_of_first_data_centre(fleet: &EntryFleet) -> Vec<usize> {
    let hosts = fleet.daemons.iter().step_by(2);
    let hosts: Vec<_> = hosts.map(|d| std::rc::Rc::from(&*d.host)).collect();
    let chosen = ReaderSelector::default().select(&hosts, BootTime::default());
    let index = |host: &str| fleet.daemons.iter().position(|d| d.host == host);
    chosen.iter().filter_map(|host| index(host)).collect()
}

#[test]
fn leaving_target_stops_receiving_work_while_readers_are_cut_off_from_the_store() {
    let fleet = start(12);
    let readers = readers_of_first_data_centre(&fleet);
    for reader in &readers[..3] {
        fleet.store_links[*reader].set_faults(|f| f.cut = true);
    }
    sleep(Duration::from_secs(3));
    for round in 0..6u64 {
        fleet.targets[0].register(&fleet.store, "draining");
        sleep(LEAVING_TIMEOUT);
        for i in (0..12).step_by(2) {
            let id = format!("round-{round}-{i}");
            for _ in 0..4 {
                let _ = fleet.request(i, "key-big", "GET", "/one/x", &id);
            }
            let late = fleet.targets[0].runs().iter().any(|r| r.request_id == id);
            assert!(!late, "daemon {i} in round {round}, readers {readers:?}");
        }
        fleet.targets[0].register(&fleet.store, "ready");
        sleep(LEAVING_TIMEOUT + Duration::from_millis(170 * round));
    }
}

#[test]
fn leaving_target_stops_receiving_work_while_all_readers_are_stopped() {
    for round in 0..3u64 {
        let fleet = start(12);
        let readers = readers_of_first_data_centre(&fleet);
        sleep(Duration::from_millis(230 * round));
        for reader in &readers {
            fleet.daemons[*reader].signal("STOP");
        }
        fleet.targets[0].register(&fleet.store, "draining");
        sleep(LEAVING_TIMEOUT);
        for i in (0..12).step_by(2).filter(|i| !readers.contains(i)) {
            let id = format!("stopped-{round}-{i}");
            for _ in 0..4 {
                let _ = fleet.request(i, "key-big", "GET", "/one/x", &id);
            }
            let late = fleet.targets[0].runs().iter().any(|r| r.request_id == id);
            assert!(!late, "daemon {i} in round {round}, readers {readers:?}");
        }
    }
}

/// Length of a simulated day, s.
const DAY_S: f64 = 40.0;

#[test]
fn day_with_simultaneous_start_of_all_daemons_stays_within_the_store_call_budget() {
    let fleet = start(DAEMONS);
    let started_s = 3.0;
    let start_calls = fleet.store.calls() as f64;
    sleep(Duration::from_secs(5));
    let quiet_per_s = (fleet.store.calls() as f64 - start_calls) / 5.0;
    let day_calls = start_calls + quiet_per_s * (DAY_S - started_s);
    let per_daemon = day_calls / DAEMONS as f64;
    assert!(
        per_daemon <= DAY_S * MAX_CALLS_PER_S,
        "{per_daemon} calls per daemon; {start_calls} calls of the fleet during its start"
    );
}

#[test]
fn idle_fleet_stays_within_the_store_call_budget() {
    let fleet = start(DAEMONS);
    let before = fleet.store.calls();
    sleep(Duration::from_secs(8));
    let calls = (fleet.store.calls() - before) as f64;
    let per_daemon = calls / 8.0 / DAEMONS as f64;
    assert!(
        per_daemon <= MAX_CALLS_PER_S,
        "{per_daemon} calls/s per daemon"
    );
}

#[test]
fn unresponsive_readers_are_skipped_temporarily() {
    let at = |s| BootTime::from_duration(Duration::from_secs(s));
    let hosts: Vec<_> = ["a", "b", "c", "d"].map(std::rc::Rc::from).to_vec();
    let mut readers = ReaderSelector::default();
    let chosen = readers.select(&hosts, at(100));
    assert_eq!(chosen.len(), 4);
    readers.mark_unresponsive(&chosen[0], at(100));
    let next = readers.select(&hosts, at(105));
    assert_eq!(next, chosen[1..]);
    assert_eq!(readers.select(&hosts, at(111)), chosen);
}
