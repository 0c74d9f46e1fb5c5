//! Takeover of the slices of a fleet of which most hosts are gone for good.

use std::{path::Path, thread::sleep, time::Duration};

use chervillug::quota::{LeaseHolder, SuccessionRank};
use standins::EntryFleet;

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
