//! Evacuation of data centres: the rows of the operator.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use bytes::Bytes;
use chervillug::{
    catalog::KeyHasher,
    clock::BootTime,
    follow::{
        ConfigurationSink, EvacuationFormat, EvacuationSink, FollowedTable, SinkSequence, TableSink,
    },
    health::{BalancerHandle, BalancerMessage, Reversal},
    metrics::{Counter, Metrics},
    platform,
    routing::ConfigurationView,
    store::{Era, StoreVersion, StoredRow},
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
        Self::with_sink(|sink| Rc::new(sink))
    }

    /// Creates a copy whose sink combines all sinks of the operator's table, as in a daemon.
    fn in_sequence() -> Self {
        Self::with_sink(|sink| {
            let view = ConfigurationView::new(KeyHasher::new("secret"), Duration::from_secs(5));
            let configuration = ConfigurationSink::new(
                view,
                platform::CONFIGURATION_KEY,
                platform::decode_configuration,
            );
            Rc::new(SinkSequence::new(vec![
                Rc::new(sink),
                Rc::new(configuration),
            ]))
        })
    }

    fn with_sink(combine: impl FnOnce(EvacuationSink) -> Rc<dyn TableSink>) -> Self {
        let (tx, rx) = mpsc::unbounded::channel();
        let metrics = Rc::new(Metrics::default());
        let format = EvacuationFormat {
            data_centre: platform::evacuated_data_centre,
            check_value: platform::check_evacuation_value,
        };
        let known = ["a".to_owned(), "b".to_owned()];
        let sink = EvacuationSink::new(format, &known, BalancerHandle::new(tx), metrics.clone());
        Self {
            table: FollowedTable::new(platform::CONFIGURATION_TABLE, combine(sink)),
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
        copy.table.replace(read.collect(), 5.into(), at(0));
        for (i, (key, value)) in case.changes.iter().enumerate() {
            let version = 6 + i as u64;
            copy.table.apply(
                vec![row(key, *value, version)],
                5.into(),
                version.into(),
                at(1),
            );
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
        .replace(vec![row("evacuate/a", Some("{}"), 1)], 5.into(), at(0));
    copy.table.replace(Vec::new(), 9.into(), at(1));
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
    other.table.replace(Vec::new(), 5.into(), at(0));
    other.table.apply(
        vec![row("evacuate/b", Some("{}"), 6)],
        5.into(),
        6.into(),
        at(1),
    );
    let mut started = Copy::new();
    let delta = other.table.delta_since(started.table.version());
    started.table.merge(delta.expect("a delta"), at(2));
    started.receive();
    assert_eq!(started.names(), ["b"]);
    other
        .table
        .apply(vec![row("evacuate/b", None, 7)], 6.into(), 7.into(), at(3));
    let delta = other.table.delta_since(started.table.version());
    started.table.merge(delta.expect("a delta"), at(4));
    started.receive();
    assert!(started.in_force.is_empty());
    assert_eq!(started.reverted[0].version, Some(7.into()));
}

/// Guards against an evacuation whose row a rollback of the store loses or brings back, and against a
/// configuration that stays in force in its place.
#[test]
fn evacuations_and_their_reversals_survive_a_rollback() {
    let version = |era, number| StoreVersion::new(Era::stated(era), number);
    let mut copy = Copy::in_sequence();
    let read = vec![row("evacuate/a", Some("{}"), 3)];
    copy.table.replace(read.clone(), version(1, 10), at(0));
    let changes = vec![
        row("evacuate/a", None, 11),
        row("evacuate/b", Some("{}"), 12),
        row(platform::CONFIGURATION_KEY, Some("{}"), 13),
    ];
    copy.table
        .apply(changes, version(1, 10), version(1, 13), at(1));
    copy.receive();
    assert_eq!(copy.names(), ["b"]);
    assert_eq!(copy.reverted[0].version, Some(version(1, 11)));

    copy.table.replace(read, version(2, 10), at(1000));
    copy.receive();
    assert_eq!(copy.names(), ["b"], "first read of the new era");
    assert_eq!(copy.reverted.len(), 1);
    let release = copy.table.next_release();
    assert_eq!(release, Some(at(11_000)), "end of the grace");
    let late = vec![row("evacuate/a", Some("{}"), 11)];
    copy.table
        .apply(late, version(2, 10), version(2, 11), at(2000));
    copy.receive();
    assert_eq!(copy.names(), ["a", "b"], "written again");
    copy.table
        .apply(Vec::new(), version(2, 11), version(2, 12), at(11_000));
    copy.receive();
    assert_eq!(copy.names(), ["a"], "not written again");
    assert_eq!(copy.reverted[1].version, Some(version(2, 12)));
}
