//! Rows that stay in force, or stay removed, after the store came back from an older copy.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use chervillug::{
    clock::BootTime,
    follow::{FollowedTable, TableSink},
    store::{Era, StoreVersion, StoredRow},
};

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(1_000_000 + ms))
}

fn version(era: u64, number: u64) -> StoreVersion {
    StoreVersion::new(Era::stated(era), number)
}

/// A row, or a removal if `value` is empty.
type RowSpec = (&'static str, &'static str, u64);

fn rows(specs: &[RowSpec]) -> Vec<StoredRow> {
    let row = |(key, value, version): &RowSpec| StoredRow {
        key: (*key).to_owned(),
        value: Some(Bytes::from(*value)).filter(|v| !v.is_empty()),
        version: *version,
    };
    specs.iter().map(row).collect()
}

/// Records the rows in force; retains all rows but `plain`.
#[derive(Default)]
struct Sink {
    rows: RefCell<BTreeMap<String, String>>,
}

impl TableSink for Sink {
    fn replace(&self, rows: Vec<StoredRow>, now: BootTime) {
        self.rows.borrow_mut().clear();
        self.apply(rows, now);
    }

    fn apply(&self, rows: Vec<StoredRow>, _: BootTime) {
        let mut current = self.rows.borrow_mut();
        for row in rows {
            match row.value {
                Some(value) => {
                    current.insert(row.key, String::from_utf8_lossy(&value).into_owned());
                }
                None => {
                    current.remove(&row.key);
                }
            }
        }
    }

    fn grace(&self, key: &str) -> Option<Duration> {
        (key != "plain").then_some(Duration::from_secs(2))
    }

    fn on_failure(&self, _: BootTime) {}
}

/// Time in ms, changes of the new era, and values in force after them.
type Step = (
    u64,
    &'static [RowSpec],
    &'static [(&'static str, &'static str)],
);

struct Case {
    name: &'static str,
    /// Rows at version 10 of the era before.
    before: &'static [RowSpec],
    /// Changes up to version 20 of the era before.
    changes: &'static [RowSpec],
    /// The first full read of the new era as of version 15.
    read: &'static [RowSpec],
    steps: &'static [Step],
}

const CASES: [Case; 10] = [
    Case {
        name: "unchanged row",
        before: &[("x", "ready", 4)],
        changes: &[],
        read: &[("x", "ready", 4)],
        steps: &[
            (0, &[], &[("x", "ready")]),
            (60_000, &[], &[("x", "ready")]),
        ],
    },
    Case {
        name: "lost row that is not written again",
        before: &[],
        changes: &[("x", "ready", 18)],
        read: &[],
        steps: &[
            (0, &[], &[("x", "ready")]),
            (1999, &[], &[("x", "ready")]),
            (2000, &[], &[]),
        ],
    },
    Case {
        name: "lost row that is written again",
        before: &[],
        changes: &[("x", "ready", 18)],
        read: &[],
        steps: &[
            (500, &[("x", "draining", 16)], &[("x", "draining")]),
            (60_000, &[], &[("x", "draining")]),
        ],
    },
    Case {
        name: "lost row that is removed in the new era",
        before: &[],
        changes: &[("x", "ready", 18)],
        read: &[],
        steps: &[(500, &[("x", "", 16)], &[])],
    },
    Case {
        name: "removed row that is not written again",
        before: &[("x", "ready", 4)],
        changes: &[("x", "", 18)],
        read: &[("x", "ready", 4)],
        steps: &[(0, &[], &[]), (60_000, &[], &[])],
    },
    Case {
        name: "removed row that is written again",
        before: &[("x", "ready", 4)],
        changes: &[("x", "", 18)],
        read: &[("x", "ready", 4)],
        steps: &[(300, &[("x", "ready", 16)], &[("x", "ready")])],
    },
    Case {
        name: "older value",
        before: &[("x", "ready", 4)],
        changes: &[("x", "draining", 18)],
        read: &[("x", "ready", 4)],
        steps: &[
            (0, &[], &[("x", "draining")]),
            (9_999, &[], &[("x", "draining")]),
            (10_000, &[], &[("x", "ready")]),
        ],
    },
    Case {
        name: "older value that is written again",
        before: &[("x", "ready", 4)],
        changes: &[("x", "draining", 18)],
        read: &[("x", "ready", 4)],
        steps: &[(300, &[("x", "cold", 16)], &[("x", "cold")])],
    },
    Case {
        name: "newer value that was not read in the era before",
        before: &[("x", "ready", 4)],
        changes: &[],
        read: &[("x", "draining", 12)],
        steps: &[(0, &[], &[("x", "draining")])],
    },
    Case {
        name: "rows that are not retained",
        before: &[("plain", "a", 4)],
        changes: &[("plain", "b", 18)],
        read: &[("plain", "a", 4)],
        steps: &[(0, &[], &[("plain", "a")])],
    },
];

/// Guards against targets that had left or are leaving and get requests again, and against targets
/// that lose all requests, since the store lost their entries.
#[test]
fn rows_of_an_older_copy_do_not_replace_newer_ones() {
    for case in &CASES {
        let sink = Rc::new(Sink::default());
        let table = FollowedTable::new("t", sink.clone());
        table.replace(rows(case.before), version(1, 10), at(0));
        table.apply(rows(case.changes), version(1, 10), version(1, 20), at(0));
        table.replace(rows(case.read), version(2, 15), at(0));
        let mut known = 15;
        for (ms, changes, expected) in case.steps {
            let since = version(2, known);
            known += 1;
            table.apply(rows(changes), since, version(2, known), at(*ms));
            let expected: BTreeMap<String, String> = expected
                .iter()
                .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
                .collect();
            assert_eq!(*sink.rows.borrow(), expected, "{} at {ms} ms", case.name);
        }
    }
}

#[test]
fn second_rollback_does_not_bring_a_removed_row_back() {
    let sink = Rc::new(Sink::default());
    let table = FollowedTable::new("t", sink.clone());
    table.replace(rows(&[("x", "ready", 4)]), version(1, 10), at(0));
    table.apply(
        rows(&[("x", "", 11)]),
        version(1, 10),
        version(1, 11),
        at(0),
    );
    table.replace(Vec::new(), version(2, 3), at(100));
    table.replace(rows(&[("x", "ready", 4)]), version(3, 10), at(200));
    assert!(sink.rows.borrow().is_empty());
}

/// Guards against a row that was written again and stays withheld at daemons that get the rows of the
/// new era from a reader.
#[test]
fn row_written_again_is_in_force_at_daemons_that_do_not_read_the_store() {
    let tables = [(); 3].map(|()| {
        let sink = Rc::new(Sink::default());
        (FollowedTable::new("t", sink.clone()), sink)
    });
    for (table, _) in &tables[..2] {
        table.replace(rows(&[("x", "ready", 4)]), version(1, 10), at(0));
        let (from, to) = (version(1, 10), version(1, 11));
        table.apply(rows(&[("x", "", 11)]), from, to, at(0));
    }
    let [(reader, _), (follower, _), (starting, _)] = &tables;
    reader.replace(rows(&[("x", "ready", 4)]), version(2, 7), at(100));
    let whole = reader.delta_since(None).expect("a delta");
    starting.merge(whole, at(150));
    assert!(tables[2].1.rows.borrow().is_empty(), "starting daemon");
    let again = rows(&[("x", "ready", 8)]);
    reader.apply(again, version(2, 7), version(2, 8), at(200));
    for table in [follower, starting] {
        let delta = reader.delta_since(table.version()).expect("a delta");
        table.merge(delta, at(300));
    }
    for (i, (_, sink)) in tables.iter().enumerate() {
        assert!(sink.rows.borrow().contains_key("x"), "{i}");
    }
}
