//! Handovers and holders of slices where the store comes back from an older copy.

use std::{rc::Rc, time::Duration};

use chervillug::{
    clock::BootTime,
    follow::{FollowedTable, MemberSink, MEMBERS_TABLE},
    peer::PeerDirectory,
    quota::{HolderChange, HolderRow, SliceHolders, SliceLease},
    store::{Era, StoreVersion, StoredRow},
};

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(1_000_000 + ms))
}

fn version(era: u64, number: u64) -> StoreVersion {
    StoreVersion::new(Era::stated(era), number)
}

fn change(host: &str, version: StoreVersion) -> HolderChange {
    HolderChange {
        data_centre: "a".to_owned(),
        host: host.to_owned(),
        version,
        relayed: false,
    }
}

/// Guards against a holder of an earlier era that stays in force because its version is higher, and
/// against a new one that a late message of an earlier era replaces.
#[test]
fn holders_are_compared_within_an_era() {
    let holders = SliceHolders::default();
    let holder = || holders.holder("a").map(|h| h.to_string());
    holders.set_from_row("a", "first", version(1, 50), at(0));
    holders.announce(&change("second", version(2, 7)), at(100));
    assert_eq!(holder().as_deref(), Some("second"), "a lower version");
    holders.announce(&change("first", version(1, 60)), at(200));
    assert_eq!(holder().as_deref(), Some("second"), "a late announcement");
    holders.set_from_row("a", "first", version(1, 70), at(300));
    assert_eq!(holder().as_deref(), Some("second"), "a late row");
    holders.set_from_row("a", "third", version(2, 8), at(400));
    assert_eq!(holder().as_deref(), Some("third"));
}

/// Guards against a holder announced in a new era that the row of an earlier one replaces, as that row
/// stays in force in place of one that the store lost.
#[test]
fn row_that_stays_in_force_does_not_replace_an_announced_holder() {
    let row = |host: &str, version| StoredRow {
        key: HolderRow::key("a"),
        value: Some(format!(r#"{{"host": "{host}"}}"#).into()),
        version,
    };
    let holders = SliceHolders::default();
    let holder = || holders.holder("a").map(|h| h.to_string());
    let directory = PeerDirectory::new("own", &Default::default());
    let sink = MemberSink::new(directory, holders.clone());
    let table = FollowedTable::new(MEMBERS_TABLE, Rc::new(sink));
    table.replace(vec![row("first", 50)], version(1, 60), at(0));
    assert_eq!(holder().as_deref(), Some("first"));
    holders.announce(&change("second", version(2, 42)), at(100));
    table.replace(Vec::new(), version(2, 40), at(200));
    assert_eq!(holder().as_deref(), Some("second"), "a lost row");
    table.apply(
        vec![row("third", 45)],
        version(2, 40),
        version(2, 45),
        at(300),
    );
    assert_eq!(holder().as_deref(), Some("third"), "a row of the new era");
    holders.announce(&change("fourth", version(2, 47)), at(400));
    assert_eq!(holder().as_deref(), Some("fourth"));
}

/// Guards against a successor that acquires a lease in another era than that in which it was released,
/// where the row may have the same version and name a holder.
#[test]
fn release_counts_in_its_era_only() {
    struct Case {
        name: &'static str,
        /// Era that the successor knows, and the one of the release.
        known: u64,
        released: u64,
        accepted: bool,
        /// Era in which the write is committed, and whether it makes the successor the holder.
        committed: u64,
        holds: bool,
    }
    let case = |name, known, released, accepted, committed, holds| Case {
        name,
        known,
        released,
        accepted,
        committed,
        holds,
    };
    let cases = [
        case("one era", 2, 2, true, 2, true),
        case("release of an earlier era", 2, 1, false, 2, false),
        case("release of an era that was not known", 1, 2, true, 2, true),
        case("rollback before the write", 2, 2, true, 3, false),
        case("rollback unknown to both", 1, 2, true, 3, false),
    ];
    for case in &cases {
        let name = case.name;
        let mut lease = SliceLease::default();
        lease.see_era(Era::stated(case.known), at(0));
        lease.observe(7, false, at(0));
        let accepted = lease.accept_release(version(case.released, 7), at(10));
        assert_eq!(accepted, case.accepted, "{name}");
        let expected = lease.acquirable_version(at(10));
        assert_eq!(expected, accepted.then_some(7), "{name}");
        if accepted {
            let sent_in = lease.era();
            let committed = version(case.committed, 8);
            let holds = lease.record_commit(committed, at(10), sent_in, at(20));
            assert_eq!(holds, case.holds, "{name}");
        }
        assert_eq!(lease.is_held(at(20)), case.holds, "{name}");
    }
}

/// Guards against a holder that releases a version of an earlier era.
#[test]
fn lease_is_not_released_before_its_row_is_read_in_the_era() {
    let mut lease = SliceLease::default();
    lease.observe(0, false, at(0));
    lease.record_write(7, at(0));
    lease.see_era(Era::stated(1), at(10));
    assert!(lease.is_held(at(20)));
    assert_eq!(lease.release(at(20)), None);
    lease.observe(5, true, at(30));
    let version = StoreVersion::new(Era::stated(1), 5);
    assert_eq!(lease.release(at(40)), Some(version));
}
