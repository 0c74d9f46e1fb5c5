//! What daemons pass on of a table, against a model of the store.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use bytes::Bytes;
use chervillug::{
    clock::BootTime,
    follow::{FollowedTable, TableSink},
    store::StoredRow,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Keeps the rows as a part of a daemon would that is told of changes only.
#[derive(Default)]
struct Told {
    rows: RefCell<BTreeMap<String, Bytes>>,
}

impl TableSink for Told {
    fn replace(&self, rows: Vec<StoredRow>, now: BootTime) {
        self.rows.borrow_mut().clear();
        self.apply(rows, now);
    }

    fn apply(&self, rows: Vec<StoredRow>, _: BootTime) {
        let mut told = self.rows.borrow_mut();
        for row in rows {
            match row.value {
                Some(value) => told.insert(row.key, value),
                None => told.remove(&row.key),
            };
        }
    }

    fn on_failure(&self, _: BootTime) {}
}

/// The store: all rows that ever were, with their last change.
#[derive(Default)]
struct Store {
    rows: BTreeMap<String, StoredRow>,
    version: u64,
}

impl Store {
    fn put(&mut self, key: u8, present: bool) {
        self.version += 1;
        let key = format!("k{}", key % 6);
        let value = present.then(|| Bytes::from(self.version.to_string()));
        let row = StoredRow {
            key: key.clone(),
            value,
            version: self.version,
        };
        self.rows.insert(key, row);
    }

    fn live(&self) -> Vec<StoredRow> {
        let live = self.rows.values().filter(|row| row.value.is_some());
        live.cloned().collect()
    }

    fn changed_since(&self, version: u64) -> Vec<StoredRow> {
        let changed = self.rows.values().filter(|row| row.version > version);
        let mut rows: Vec<StoredRow> = changed.cloned().collect();
        rows.sort_by_key(|row| row.version);
        rows
    }
}

struct Daemon {
    table: FollowedTable,
    told: Rc<Told>,
}

impl Daemon {
    fn new() -> Self {
        let told = Rc::new(Told::default());
        Self {
            table: FollowedTable::new("t", told.clone()),
            told,
        }
    }

    /// Reads the store, by its changes when it knows the table and the history is there.
    fn read(&self, store: &Store, history: bool) {
        let now = BootTime::default();
        match self.table.version().filter(|_| history) {
            Some(held) => self
                .table
                .apply(store.changed_since(held), store.version, now),
            None => {
                self.table.invalidate();
                self.table.replace(store.live(), store.version, now);
            }
        }
    }

    /// Asks another daemon until it knows no more.
    fn ask(&self, other: &Daemon) {
        loop {
            let Some(change) = other.table.delta_since(self.table.version()) else {
                return;
            };
            let more = change.more;
            self.table.merge(change, BootTime::default());
            if !more {
                return;
            }
        }
    }

    fn agrees(&self, store: &Store) -> bool {
        let live = store.live().into_iter();
        let expected: BTreeMap<String, Bytes> =
            live.filter_map(|r| Some((r.key, r.value?))).collect();
        *self.told.rows.borrow() == expected
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Put { key: u8, present: bool },
    Read { daemon: u8, history: bool },
    Ask { daemon: u8, other: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let daemon = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 5 {
            0 | 1 => Step::Put {
                key: u8::arbitrary(g),
                present: bool::arbitrary(g),
            },
            2 => Step::Read {
                daemon,
                history: u8::arbitrary(g) % 3 > 0,
            },
            _ => Step::Ask {
                daemon,
                other: u8::arbitrary(g) % 3,
            },
        }
    }
}

/// Histories that are played; a fault in the tombstones of rows that came and went between two
/// readings shows in one of some thousand.
const HISTORIES: u64 = 30_000;

fn knows_what_the_store_holds(steps: Vec<Step>) -> bool {
    let mut store = Store::default();
    let daemons = [Daemon::new(), Daemon::new(), Daemon::new()];
    steps.into_iter().all(|step| match step {
        Step::Put { key, present } => {
            store.put(key, present);
            true
        }
        Step::Read { daemon, history } => {
            let daemon = &daemons[usize::from(daemon)];
            daemon.read(&store, history);
            daemon.agrees(&store)
        }
        Step::Ask { daemon, other } if daemon != other => {
            let (daemon, other) = (&daemons[usize::from(daemon)], &daemons[usize::from(other)]);
            let current = Some(store.version);
            let knew = daemon.table.version() == current || other.table.version() == current;
            daemon.ask(other);
            !knew || daemon.agrees(&store)
        }
        Step::Ask { .. } => true,
    })
}

#[test]
fn daemon_that_asks_one_that_just_read_knows_what_the_store_holds() {
    QuickCheck::new()
        .max_tests(HISTORIES)
        .tests(HISTORIES)
        .quickcheck(knows_what_the_store_holds as fn(Vec<Step>) -> bool);
}

#[test]
fn many_changes_come_in_parts() {
    let mut store = Store::default();
    let (reader, asker) = (Daemon::new(), Daemon::new());
    reader.read(&store, true);
    asker.ask(&reader);
    for i in 0..1000u64 {
        store.version += 1;
        let row = StoredRow {
            key: format!("n{i}"),
            value: Some(Bytes::from("x")),
            version: store.version,
        };
        store.rows.insert(row.key.clone(), row);
    }
    reader.read(&store, true);
    let first = reader.table.delta_since(asker.table.version());
    let first = first.expect("a change");
    assert!(first.more && first.rows.len() < 200, "{}", first.rows.len());
    asker.ask(&reader);
    assert!(asker.agrees(&store));
}
