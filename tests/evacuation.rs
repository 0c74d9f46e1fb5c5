//! Evacuation of data centres: the rows of the operator.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use bytes::Bytes;
use chervillug::{
    clock::BootTime,
    follow::{EvacuationFormat, EvacuationSink, FollowedTable},
    health::{BalancerHandle, BalancerMessage, Reversal},
    metrics::{Counter, Metrics},
    platform,
    store::StoredRow,
};
use local_sync::mpsc;

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
}

fn row(key: &str, value: Option<&str>, version: u64) -> StoredRow {
    StoredRow {
        key: key.to_owned(),
        value: value.map(|v| Bytes::copy_from_slice(v.as_bytes())),
        version,
    }
}

fn counted(metrics: &Metrics, counter: Counter) -> u64 {
    let mut value = 0;
    metrics.for_each_counter(|name, n| {
        if name == counter.name() {
            value = n;
        }
    });
    value
}

struct Copy {
    table: FollowedTable,
    rx: mpsc::unbounded::Rx<BalancerMessage>,
    metrics: Rc<Metrics>,
    in_force: BTreeSet<Rc<str>>,
    reverted: Vec<Reversal>,
}

impl Copy {
    fn new() -> Self {
        let (tx, rx) = mpsc::unbounded::channel();
        let metrics = Rc::new(Metrics::default());
        let format = EvacuationFormat {
            data_centre: platform::evacuated_data_centre,
            check_value: platform::check_evacuation_value,
        };
        let known = ["a".to_owned(), "b".to_owned()];
        let sink = EvacuationSink::new(format, &known, BalancerHandle::new(tx), metrics.clone());
        Self {
            table: FollowedTable::new(platform::CONFIGURATION_TABLE, Rc::new(sink)),
            rx,
            metrics,
            in_force: BTreeSet::new(),
            reverted: Vec::new(),
        }
    }

    fn receive(&mut self) {
        while let Ok(msg) = self.rx.try_recv() {
            let BalancerMessage::SetEvacuations(evacuations) = msg else {
                panic!("unexpected message");
            };
            self.in_force = evacuations.in_force;
            self.reverted.extend(evacuations.reverted);
        }
    }

    fn names(&self) -> Vec<&str> {
        self.in_force.iter().map(|name| &**name).collect()
    }
}

/// Guards against rows that are lost, misread, or that disable the evacuation by a corrupt value.
#[test]
fn only_the_keys_of_the_rows_decide_which_data_centres_are_evacuated() {
    struct Case {
        name: &'static str,
        read: &'static [(&'static str, &'static str)],
        changes: &'static [(&'static str, Option<&'static str>)],
        in_force: &'static [&'static str],
        reverted: usize,
        invalid: u64,
    }
    let cases = [
        Case {
            name: "no row",
            read: &[("config", "{}")],
            changes: &[],
            in_force: &[],
            reverted: 0,
            invalid: 0,
        },
        Case {
            name: "row in the first read",
            read: &[("config", "{}"), ("evacuate/a", "{}")],
            changes: &[],
            in_force: &["a"],
            reverted: 0,
            invalid: 0,
        },
        Case {
            name: "row written, then written again",
            read: &[],
            changes: &[("evacuate/a", Some("{}")), ("evacuate/a", Some("{}"))],
            in_force: &["a"],
            reverted: 0,
            invalid: 0,
        },
        Case {
            name: "row removed",
            read: &[("evacuate/a", "{}"), ("evacuate/b", "{}")],
            changes: &[("evacuate/a", None)],
            in_force: &["b"],
            reverted: 1,
            invalid: 0,
        },
        Case {
            name: "removal of a row that was never read",
            read: &[],
            changes: &[("evacuate/a", None)],
            in_force: &[],
            reverted: 1,
            invalid: 0,
        },
        Case {
            name: "removed and written again",
            read: &[("evacuate/a", "{}")],
            changes: &[("evacuate/a", None), ("evacuate/a", Some("{}"))],
            in_force: &["a"],
            reverted: 1,
            invalid: 0,
        },
        Case {
            name: "corrupt values",
            read: &[("evacuate/a", "\u{0}{")],
            changes: &[("evacuate/b", Some("[]"))],
            in_force: &["a", "b"],
            reverted: 0,
            invalid: 2,
        },
        Case {
            name: "unknown data centre, which is in force",
            read: &[],
            changes: &[("evacuate/elsewhere", Some("{}"))],
            in_force: &["elsewhere"],
            reverted: 0,
            invalid: 1,
        },
        Case {
            name: "empty name, and keys of other rows",
            read: &[
                ("evacuate/", "{}"),
                ("evacuate", "{}"),
                ("Evacuate/a", "{}"),
            ],
            changes: &[("evacuated/a", Some("{}"))],
            in_force: &[],
            reverted: 0,
            invalid: 1,
        },
    ];
    for case in &cases {
        let mut copy = Copy::new();
        let read = case
            .read
            .iter()
            .map(|(key, value)| row(key, Some(value), 1));
        copy.table.replace(read.collect(), 5, at(0));
        for (i, (key, value)) in case.changes.iter().enumerate() {
            let version = 6 + i as u64;
            copy.table
                .apply(vec![row(key, *value, version)], version, at(1));
        }
        copy.receive();
        assert_eq!(copy.names(), case.in_force, "{}", case.name);
        assert_eq!(copy.reverted.len(), case.reverted, "{}", case.name);
        let invalid = counted(&copy.metrics, Counter::EvacuationRowsInvalid);
        assert_eq!(invalid, case.invalid, "{}: invalid rows", case.name);
    }
}

/// Guards against a daemon that learns of a removal by a full read only and keeps the evacuation.
#[test]
fn row_that_is_missing_from_a_full_read_is_a_reversal_of_unknown_version() {
    let mut copy = Copy::new();
    copy.table
        .replace(vec![row("evacuate/a", Some("{}"), 1)], 5, at(0));
    copy.table.replace(Vec::new(), 9, at(1));
    copy.receive();
    assert!(copy.in_force.is_empty());
    let reversal = Reversal {
        data_centre: Rc::from("a"),
        version: None,
    };
    assert_eq!(copy.reverted, [reversal]);
}

/// Guards against a daemon that starts while the store is unreachable and misses the evacuation.
#[test]
fn copy_of_another_daemon_brings_the_evacuation() {
    let other = Copy::new();
    other.table.replace(Vec::new(), 5, at(0));
    other
        .table
        .apply(vec![row("evacuate/b", Some("{}"), 6)], 6, at(1));
    let mut started = Copy::new();
    let delta = other.table.delta_since(started.table.version());
    started.table.merge(delta.expect("a delta"), at(2));
    started.receive();
    assert_eq!(started.names(), ["b"]);
    other
        .table
        .apply(vec![row("evacuate/b", None, 7)], 7, at(3));
    let delta = other.table.delta_since(started.table.version());
    started.table.merge(delta.expect("a delta"), at(4));
    started.receive();
    assert!(started.in_force.is_empty());
    assert_eq!(started.reverted[0].version, Some(7));
}
