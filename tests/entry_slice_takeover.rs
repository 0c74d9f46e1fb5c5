//! Takeover of the slices of a fleet of which most hosts are gone for good.

use std::{
    fs,
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use chervillug::quota::{LeaseHolder, SuccessionRank, LEASE_TERM, RENEW_INTERVAL};
use serde_json::json;
use standins::{EntryDaemon, EntryFleet};

/// Daemons in each of the two data centres.
const DAEMONS_PER_CENTRE: usize = 4;
/// Operator's limit on the time until requests are served again after the loss of hosts.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// Returns the daemons of a data centre; those of the two data centres alternate.
fn daemons_of(centre: usize) -> impl Iterator<Item = usize> {
    (0..DAEMONS_PER_CENTRE).map(move |i| 2 * i + centre)
}

/// Returns the host that holds the slice of a data centre according to the store.
fn holder(fleet: &EntryFleet, centre: &str) -> Option<String> {
    let row = fleet.store.get("slices", centre)?;
    let holder: LeaseHolder = serde_json::from_slice(&row).expect("unreadable lease");
    Some(holder.host)
}

/// Returns the daemon that is last in the order of those that may take over a data centre's slice.
fn last_successor(fleet: &EntryFleet, centre: usize, name: &str) -> usize {
    let holder = holder(fleet, name).expect("no slice lease");
    let host = |i: usize| fleet.daemons[i].host.as_str();
    let successors: Vec<usize> = daemons_of(centre).filter(|i| host(*i) != holder).collect();
    let rank = |i: &usize| {
        let others = successors.iter().filter(|j| *j != i);
        SuccessionRank::new(host(*i), others.map(|j| host(*j))).ahead
    };
    let last = successors.iter().copied().max_by_key(rank);
    last.expect("no successor")
}

/// Guards against the refusal of all requests with a key for good after the holder of each slice
/// and the two daemons ranked next have been removed, while other daemons are well.
#[test]
fn slices_are_taken_over_after_their_holders_and_standbys_are_gone_for_good() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let mut fleet = EntryFleet::start(program, 2 * DAEMONS_PER_CENTRE).expect("no fleet");
    while ["a", "b"].iter().any(|c| holder(&fleet, c).is_none()) {
        sleep(Duration::from_millis(50));
    }
    let left = [
        last_successor(&fleet, 0, "a"),
        last_successor(&fleet, 1, "b"),
    ];
    for i in (0..fleet.daemons.len()).filter(|i| !left.contains(i)) {
        fleet.daemons[i].kill();
    }
    // No request arrives meanwhile, so that none can make the daemons notice the loss.
    sleep(RECOVERY_LIMIT);
    let sent = 20;
    let served = (0..sent).filter(|i| {
        let id = format!("after-{i}");
        let reply = fleet.request(left[i % 2], "key-big", "GET", "/one/x", &id);
        reply.is_ok_and(|r| r.status == 200)
    });
    assert_eq!(served.count(), sent);
    for (i, name) in left.into_iter().zip(["a", "b"]) {
        let host = &fleet.daemons[i].host;
        assert_eq!(holder(&fleet, name).as_ref(), Some(host));
    }
}

/// Guards against two daemons that grant the same slice: one that is cut off from the store, and one
/// that replaces its host under the same name meanwhile.
#[test]
fn replacement_of_a_host_waits_for_the_lease_of_the_former_daemon() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let fleet = EntryFleet::start(program, 2).expect("no fleet");
    while holder(&fleet, "a").is_none() {
        sleep(Duration::from_millis(50));
    }
    let host = &fleet.daemons[0].host;
    fleet.store_links[0].set_faults(|f| f.cut = true);
    let cut_at = Instant::now();
    let directory = std::env::temp_dir().join(format!("chervillug-again-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("no directory");
    let store = fleet.store.address();
    let more = json!({"first_start": false});
    let replacement = EntryDaemon::start(program, &directory, host, "a", store, &more);
    let replacement = replacement.expect("no replacement");
    let has_taken = || replacement.log().contains("slice taken");
    // The last renewal was at most `RENEW_INTERVAL` before the cut.
    while cut_at.elapsed() < LEASE_TERM - RENEW_INTERVAL {
        assert!(!has_taken(), "taken after {:?}", cut_at.elapsed());
        sleep(Duration::from_millis(50));
    }
    while !has_taken() {
        assert!(cut_at.elapsed() < RECOVERY_LIMIT, "not taken over");
        sleep(Duration::from_millis(50));
    }
    let _ = fs::remove_dir_all(&directory);
}

/// Guards against a slice without a holder for the rest of a lease when a daemon is restarted, and
/// against a lease that is taken from a daemon which is still running.
#[test]
fn earlier_incarnation_is_known_by_host_and_address() {
    struct Case {
        host: &'static str,
        incarnation: &'static str,
        address: Option<&'static str>,
        is_same: bool,
    }
    let holder = |host: &str, incarnation: &str, address: Option<&str>| -> LeaseHolder {
        let row = json!({"host": host, "incarnation": incarnation, "address": address});
        serde_json::from_value(row).expect("a holder")
    };
    let (own_address, other_address) = (Some("10.0.0.1:80"), Some("10.0.0.2:80"));
    let own = holder("entry-0", "0000000000000002", own_address);
    let cases = [
        Case {
            host: "entry-0",
            incarnation: "0000000000000001",
            address: own_address,
            is_same: true,
        },
        Case {
            host: "entry-0",
            incarnation: "0000000000000001",
            address: other_address,
            is_same: false,
        },
        Case {
            host: "entry-0",
            incarnation: "0000000000000001",
            address: None,
            is_same: false,
        },
        Case {
            host: "entry-1",
            incarnation: "0000000000000001",
            address: own_address,
            is_same: false,
        },
        Case {
            host: "entry-0",
            incarnation: "0000000000000002",
            address: own_address,
            is_same: true,
        },
    ];
    for (i, case) in cases.iter().enumerate() {
        let other = holder(case.host, case.incarnation, case.address);
        assert_eq!(other.is_same_daemon(&own), case.is_same, "{i}");
    }
}
