//! Tests of the list of targets during and after outages of the store.

use std::time::Duration;

use chervillug::{clock::BootTime, follow::TargetList, store::ListedHost};

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
}

fn host(name: &str) -> ListedHost {
    ListedHost {
        name: name.to_owned(),
        data_centre: "a".to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        service: Some("one".to_owned()),
        slots: 2,
        leaving: false,
        cold: false,
        born: None,
    }
}

fn names(list: &TargetList) -> Vec<String> {
    list.hosts().into_iter().map(|h| h.name).collect()
}

#[test]
fn removed_entry_is_dropped_at_once_without_an_outage() {
    let mut list = TargetList::default();
    list.replace(vec![host("x"), host("y")], at(0));
    list.remove("x", at(10));
    assert_eq!(names(&list), ["y"]);
}

/// The grace period gives targets time to register again: `x` does so, `y` does not.
#[test]
fn entry_that_expired_in_an_outage_stays_listed_for_a_grace_period() {
    let mut list = TargetList::default();
    list.replace(vec![host("x"), host("y"), host("z")], at(0));
    list.on_store_failure(None, at(1000));
    list.on_store_response(at(9000));
    list.replace(vec![host("z")], at(9000));
    assert_eq!(names(&list), ["x", "y", "z"]);
    list.put(host("x"));
    assert!(!list.expire(at(10_600)));
    assert!(list.expire(at(10_700)));
    assert_eq!(names(&list), ["x", "z"]);
    assert!(!list.has_expiring());
}

#[test]
fn leaving_target_is_listed_as_leaving_after_an_outage() {
    let mut list = TargetList::default();
    list.replace(vec![host("x")], at(0));
    list.on_store_failure(None, at(1000));
    list.on_store_response(at(2000));
    let mut leaving = host("x");
    leaving.leaving = true;
    list.replace(vec![leaving], at(2000));
    assert!(list.hosts()[0].leaving);
}

struct Outage {
    name: &'static str,
    /// Age of any daemon's newest freshness proof when this daemon's calls began to fail, s.
    proof_age_s: Option<u64>,
    /// Whether an entry that is missing after the outage stays listed for a while.
    is_kept: bool,
}

const OUTAGES: [Outage; 3] = [
    Outage {
        name: "store unavailable to all daemons",
        proof_age_s: Some(3),
        is_kept: true,
    },
    Outage {
        name: "no daemon ever had a proof",
        proof_age_s: None,
        is_kept: true,
    },
    Outage {
        name: "store unreachable from this daemon only",
        proof_age_s: Some(1),
        is_kept: false,
    },
];

#[test]
fn entry_that_expired_while_others_reached_the_store_is_dropped_at_once() {
    for outage in &OUTAGES {
        let mut list = TargetList::default();
        list.replace(vec![host("x"), host("y")], at(0));
        list.on_store_failure(outage.proof_age_s.map(Duration::from_secs), at(1000));
        list.on_store_response(at(13_000));
        list.replace(vec![host("y")], at(13_000));
        assert_eq!(
            names(&list).contains(&"x".to_owned()),
            outage.is_kept,
            "{}",
            outage.name
        );
    }
}
