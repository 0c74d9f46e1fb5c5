//! Proofs of a fresh configuration that daemons take from each other, by the real program.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use chervillug::{clock::BootTime, follow::ReaderSelector};
use standins::{configuration, EntryFleet};

/// Time within which a configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Longest time for which a withdrawn key may work.
const KEY_WITHDRAWAL: Duration = Duration::from_secs(5);

/// Daemons of a fleet whose store calls are counted.
const DAEMONS: usize = 24;
/// Most store calls of a daemon on a quiet day, 1/s.
const MOST_CALLS_PER_S: f64 = 0.3;

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
fn configuration_is_in_force_at_all_daemons() {
    let fleet = start(8);
    withdraw(&fleet, 2);
    sleep(IN_FORCE);
    for i in 0..8 {
        assert_eq!(status(&fleet, i, "key-big-2"), 401, "daemon {i}");
        assert_eq!(status(&fleet, i, "key-big"), 200, "daemon {i}");
    }
}

#[test]
fn daemons_serve_on_and_learn_changes_whichever_readers_die() {
    for first in 0..2 {
        let mut fleet = start(8);
        // Three of the four daemons of one data centre, whichever of them read for the others.
        for i in (first..first + 6).step_by(2) {
            fleet.daemons[i].kill();
        }
        sleep(Duration::from_secs(1));
        let left = first + 6;
        let began = Instant::now();
        while began.elapsed() < KEY_WITHDRAWAL {
            assert_eq!(
                status(&fleet, left, "key-big"),
                200,
                "{:?}",
                began.elapsed()
            );
            sleep(Duration::from_millis(100));
        }
        withdraw(&fleet, 2);
        sleep(IN_FORCE);
        assert_eq!(status(&fleet, left, "key-big-2"), 401);
    }
}

#[test]
fn withdrawn_key_stops_beside_daemons_that_stand_still() {
    let fleet = start(8);
    for i in 0..4 {
        fleet.daemons[i].signal("STOP");
    }
    withdraw(&fleet, 2);
    sleep(KEY_WITHDRAWAL);
    for i in 4..8 {
        assert_ne!(status(&fleet, i, "key-big-2"), 200, "daemon {i}");
    }
    for i in 0..4 {
        fleet.daemons[i].signal("CONT");
        assert_ne!(status(&fleet, i, "key-big-2"), 200, "daemon {i}");
    }
}

/// Time behind which a leaving target gets no more work.
const LEFT_WITHIN: Duration = Duration::from_secs(2);

/// Returns the daemons of the data centre `a` in the order in which they read for the others.
fn readers_of_first_data_centre(fleet: &EntryFleet) -> Vec<usize> {
    let hosts = fleet.daemons.iter().step_by(2);
    let hosts: Vec<_> = hosts.map(|d| std::rc::Rc::from(&*d.host)).collect();
    let chosen = ReaderSelector::default().select(&hosts, BootTime::default());
    let index = |host: &str| fleet.daemons.iter().position(|d| d.host == host);
    chosen.iter().filter_map(|host| index(host)).collect()
}

#[test]
fn leaving_target_is_left_in_time_beside_readers_without_the_store() {
    let fleet = start(12);
    let readers = readers_of_first_data_centre(&fleet);
    for reader in &readers[..3] {
        fleet.store_links[*reader].set_faults(|f| f.cut = true);
    }
    sleep(Duration::from_secs(3));
    for round in 0..6u64 {
        fleet.targets[0].register(&fleet.store, "draining");
        sleep(LEFT_WITHIN);
        for i in (0..12).step_by(2) {
            let id = format!("round-{round}-{i}");
            for _ in 0..4 {
                let _ = fleet.request(i, "key-big", "GET", "/one/x", &id);
            }
            let late = fleet.targets[0].runs().iter().any(|r| r.request_id == id);
            assert!(!late, "daemon {i} in round {round}, readers {readers:?}");
        }
        fleet.targets[0].register(&fleet.store, "ready");
        sleep(LEFT_WITHIN + Duration::from_millis(170 * round));
    }
}

#[test]
fn leaving_target_is_left_in_time_when_all_readers_stand_still() {
    for round in 0..3u64 {
        let fleet = start(12);
        let readers = readers_of_first_data_centre(&fleet);
        sleep(Duration::from_millis(230 * round));
        for reader in &readers {
            fleet.daemons[*reader].signal("STOP");
        }
        fleet.targets[0].register(&fleet.store, "draining");
        sleep(LEFT_WITHIN);
        for i in (0..12).step_by(2).filter(|i| !readers.contains(i)) {
            let id = format!("still-{round}-{i}");
            for _ in 0..4 {
                let _ = fleet.request(i, "key-big", "GET", "/one/x", &id);
            }
            let late = fleet.targets[0].runs().iter().any(|r| r.request_id == id);
            assert!(!late, "daemon {i} in round {round}, readers {readers:?}");
        }
    }
}

/// Length of a day, s.
const DAY_S: f64 = 40.0;

#[test]
fn day_that_starts_all_daemons_at_once_costs_few_store_calls() {
    let fleet = start(DAEMONS);
    let started_s = 3.0;
    let start_calls = fleet.store.calls() as f64;
    sleep(Duration::from_secs(5));
    let quiet_per_s = (fleet.store.calls() as f64 - start_calls) / 5.0;
    let of_day = start_calls + quiet_per_s * (DAY_S - started_s);
    let per_daemon = of_day / DAEMONS as f64;
    assert!(
        per_daemon <= DAY_S * MOST_CALLS_PER_S,
        "{per_daemon} calls, {start_calls} of them for the start of all"
    );
}

#[test]
fn quiet_fleet_makes_few_store_calls() {
    let fleet = start(DAEMONS);
    let before = fleet.store.calls();
    sleep(Duration::from_secs(8));
    let calls = (fleet.store.calls() - before) as f64;
    let per_daemon = calls / 8.0 / DAEMONS as f64;
    assert!(
        per_daemon <= MOST_CALLS_PER_S,
        "{per_daemon} calls a second"
    );
}

#[test]
fn silent_readers_are_passed_over_for_a_while() {
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
