//! The list of targets through outages of the store.

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
    }
}

fn names(list: &TargetList) -> Vec<String> {
    list.hosts().into_iter().map(|h| h.name).collect()
}

#[test]
fn removed_entry_is_dropped_at_once_while_the_store_answers() {
    let mut list = TargetList::default();
    list.replace(vec![host("x"), host("y")], at(0));
    list.remove("x", at(10));
    assert_eq!(names(&list), ["y"]);
}

#[test]
fn entry_that_lapsed_in_an_outage_stands_until_its_target_had_time_to_return() {
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
fn leaving_target_is_known_as_such_behind_an_outage() {
    let mut list = TargetList::default();
    list.replace(vec![host("x")], at(0));
    list.on_store_failure(None, at(1000));
    list.on_store_response(at(2000));
    let mut leaving = host("x");
    leaving.leaving = true;
    list.replace(vec![leaving], at(2000));
    assert!(list.hosts()[0].leaving);
}

struct Loss {
    name: &'static str,
    /// Age of the newest proof of any daemon when this one lost the store, s.
    proof_age_s: Option<u64>,
    /// Whether an entry that is missing behind the loss stands for a while.
    stands: bool,
}

const LOSSES: [Loss; 3] = [
    Loss {
        name: "the store was away",
        proof_age_s: Some(3),
        stands: true,
    },
    Loss {
        name: "no daemon ever had a proof",
        proof_age_s: None,
        stands: true,
    },
    Loss {
        name: "only this daemon was cut off",
        proof_age_s: Some(1),
        stands: false,
    },
];

#[test]
fn entry_that_lapsed_while_the_store_answered_others_is_dropped_at_once() {
    for loss in &LOSSES {
        let mut list = TargetList::default();
        list.replace(vec![host("x"), host("y")], at(0));
        list.on_store_failure(loss.proof_age_s.map(Duration::from_secs), at(1000));
        list.on_store_response(at(13_000));
        list.replace(vec![host("y")], at(13_000));
        assert_eq!(
            names(&list).contains(&"x".to_owned()),
            loss.stands,
            "{}",
            loss.name
        );
    }
}
