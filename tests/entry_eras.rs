//! End-to-end tests of a store that comes back from an older copy.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use serde_json::{json, Value};
use standins::{configuration, EntryFleet};

/// Maximum time for which a revoked key may be accepted.
const MAX_KEY_WITHDRAWAL: Duration = Duration::from_secs(5);

fn start(daemons: usize) -> EntryFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    EntryFleet::start(program, daemons).expect("the fleet starts")
}

fn status(fleet: &EntryFleet, daemon: usize, key: &str) -> u16 {
    let reply = fleet.request(daemon, key, "GET", "/one/x", "status");
    reply.map_or(0, |r| r.status)
}

fn eventually(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if done() {
            return true;
        }
        sleep(Duration::from_millis(50));
    }
    done()
}

fn without_second_key(version: u64) -> Value {
    let mut cfg = configuration(version);
    cfg["tenants"]["big"]["apiKeys"] = json!(["key-big"]);
    cfg
}

fn logs(fleet: &EntryFleet) -> String {
    fleet.daemons.iter().map(|d| d.log()).collect()
}

/// Guards against a revoked key that works again while the store lacks the revocation, also at a
/// daemon that starts then.
#[test]
fn revoked_key_stays_revoked_until_the_operator_writes_again() {
    let mut fleet = start(4);
    let daemons = 0..fleet.daemons.len();
    fleet.store.set_era(Some(7));
    let copy = fleet.store.copy();
    fleet.publish_configuration(&without_second_key(2));
    let revoked = eventually(MAX_KEY_WITHDRAWAL, || {
        daemons
            .clone()
            .all(|i| status(&fleet, i, "key-big-2") == 401)
    });
    assert!(revoked, "{}", logs(&fleet));
    fleet.store.roll_back(&copy);
    fleet.daemons[0].restart().expect("a restart");
    let end = Instant::now() + MAX_KEY_WITHDRAWAL + Duration::from_secs(2);
    while Instant::now() < end {
        for i in daemons.clone() {
            let status = status(&fleet, i, "key-big-2");
            assert!(
                [0, 401, 503].contains(&status),
                "{i}: {status}: {}",
                logs(&fleet)
            );
        }
        sleep(Duration::from_millis(50));
    }
    for i in daemons.clone() {
        assert_eq!(status(&fleet, i, "key-big"), 503, "{i} without a proof");
    }
    fleet.publish_configuration(&without_second_key(2));
    let recovered = eventually(Duration::from_secs(3), || {
        daemons.clone().all(|i| status(&fleet, i, "key-big") == 200)
    });
    assert!(recovered, "{}", logs(&fleet));
    for i in daemons {
        assert_eq!(status(&fleet, i, "key-big-2"), 401, "{i}");
    }
}

/// Guards against requests that fail although the older copy lacks nothing but old versions.
#[test]
fn requests_are_served_without_a_break_when_no_configuration_was_lost() {
    let fleet = start(2);
    fleet.store.set_era(Some(1));
    sleep(Duration::from_secs(2));
    let copy = fleet.store.copy();
    for target in &fleet.targets {
        target.register(&fleet.store, "ready");
    }
    fleet.store.roll_back(&copy);
    let end = Instant::now() + MAX_KEY_WITHDRAWAL + Duration::from_secs(2);
    while Instant::now() < end {
        for i in 0..2 {
            assert_eq!(status(&fleet, i, "key-big"), 200, "{}", logs(&fleet));
        }
        sleep(Duration::from_millis(50));
    }
}

/// Guards against requests to targets that are leaving, and against targets that lose their requests,
/// as the store has older entries of them or none.
#[test]
fn targets_are_used_as_they_were_before_the_rollback() {
    let fleet = start(2);
    fleet.store.set_era(Some(1));
    sleep(Duration::from_secs(1));
    let without_second = {
        fleet.store.remove("servers", "i-one-1");
        fleet.store.copy()
    };
    fleet.targets[1].register(&fleet.store, "ready");
    fleet.targets[0].register(&fleet.store, "draining");
    let uses_second_only = || {
        let before = fleet.targets[0].runs().len();
        let served = (0..10).all(|i| status(&fleet, i % 2, "key-big") == 200);
        served && fleet.targets[0].runs().len() == before
    };
    assert!(eventually(Duration::from_secs(5), uses_second_only));
    fleet.store.roll_back(&without_second);
    sleep(Duration::from_millis(1000));
    fleet.targets[1].register(&fleet.store, "ready");
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        assert!(uses_second_only(), "{}", logs(&fleet));
    }
}

/// Guards against a slice that is counted twice, or by nobody, as the store has the lease of the holder
/// before the present one.
#[test]
fn slice_keeps_its_holder_when_the_store_lost_the_lease() {
    let mut fleet = start(4);
    fleet.store.set_era(Some(1));
    let takes = |fleet: &EntryFleet, i: usize| {
        let log = fleet.daemons[i].log();
        log.matches(r#""message":"slice taken","data_centre":"a""#)
            .count()
    };
    let has_holder = eventually(Duration::from_secs(5), || {
        takes(&fleet, 0) + takes(&fleet, 2) > 0
    });
    assert!(has_holder, "{}", logs(&fleet));
    let (former, holder) = if takes(&fleet, 0) > 0 { (0, 2) } else { (2, 0) };
    // The holder is known in the era before it is killed.
    sleep(Duration::from_secs(3));
    let copy = fleet.store.copy();
    fleet.daemons[former].kill();
    let taken = eventually(Duration::from_secs(20), || takes(&fleet, holder) > 0);
    assert!(taken, "{}", logs(&fleet));
    fleet.store.roll_back(&copy);
    fleet.daemons[former].restart().expect("a restart");
    let takes_before = takes(&fleet, former);
    let end = Instant::now() + Duration::from_secs(7);
    let mut refused = 0;
    while Instant::now() < end {
        refused += u32::from(status(&fleet, holder, "key-big") != 200);
        sleep(Duration::from_millis(50));
    }
    assert_eq!(refused, 0, "{}", logs(&fleet));
    assert_eq!(takes(&fleet, former), takes_before, "{}", logs(&fleet));
    assert_eq!(takes(&fleet, holder), 1, "{}", logs(&fleet));
}

/// Guards against daemons that other daemons do not find, or that start with another secret, as the
/// store lost the rows of the fleet.
#[test]
fn lost_rows_of_the_fleet_are_written_again() {
    let mut fleet = start(4);
    fleet.store.set_era(Some(1));
    sleep(Duration::from_secs(4));
    let before = fleet.store.copy();
    let rows = [
        ("fleet", "secret"),
        ("members", "entry-0"),
        ("members", "entry-3"),
        ("fleet", "slice:a"),
        ("members", "slice:a"),
    ];
    let older = rows.iter().fold(before.clone(), |copy, (table, key)| {
        copy.without(table, key)
    });
    fleet.store.roll_back(&older);
    let is_restored = || {
        let now = fleet.store.copy();
        rows.iter()
            .all(|(table, key)| now.get(table, key) == before.get(table, key))
    };
    assert!(
        eventually(Duration::from_secs(8), is_restored),
        "{}",
        logs(&fleet)
    );
    fleet.daemons[1].restart().expect("a restart");
    fleet.wait_serving().expect("all daemons serve");
}
