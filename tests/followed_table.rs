//! Property tests of the table changes that daemons exchange, checked against a model of the store.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use bytes::Bytes;
use chervillug::{
    clock::BootTime,
    follow::{FollowedTable, TableSink},
    store::{Era, StoreVersion, StoredRow},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

mod table_copy;

use table_copy::Store;

/// A sink that reconstructs the rows from the changes alone.
#[derive(Default)]
struct RecordingSink {
    rows: RefCell<BTreeMap<String, Bytes>>,
}

impl TableSink for RecordingSink {
    fn replace(&self, rows: Vec<StoredRow>, now: BootTime) {
        self.rows.borrow_mut().clear();
        self.apply(rows, now);
    }

    fn apply(&self, rows: Vec<StoredRow>, _: BootTime) {
        let mut current = self.rows.borrow_mut();
        for row in rows {
            match row.value {
                Some(value) => current.insert(row.key, value),
                None => current.remove(&row.key),
            };
        }
    }

    fn on_failure(&self, _: BootTime) {}
}

/// A response of the store that has not arrived yet.
struct Response {
    /// Version after which the changes were requested; `None` if all rows were.
    since: Option<StoreVersion>,
    rows: Vec<StoredRow>,
    version: StoreVersion,
}

struct Daemon {
    table: FollowedTable,
    sink: Rc<RecordingSink>,
    /// Era of the copy when it was last examined, its keys, and the rows known to be removed with
    /// the numbers of these writes.
    examined: RefCell<(Era, BTreeSet<String>, BTreeMap<String, u64>)>,
    response: RefCell<Option<Response>>,
}

impl Daemon {
    fn new() -> Self {
        let sink = Rc::new(RecordingSink::default());
        Self {
            table: FollowedTable::new("t", sink.clone()),
            sink,
            examined: RefCell::default(),
            response: RefCell::default(),
        }
    }

    /// Calls the store for the changes, or for all rows if the copy is empty or the store has no
    /// history. The response is under way until [`Daemon::receive`].
    fn send_read(&self, store: &Store, has_history: bool) {
        // The store has no history since a version that it does not have.
        let is_known = |held: &StoreVersion| has_history && held.number <= store.version;
        let held = self.table.version().filter(is_known);
        if held.is_none() {
            self.table.invalidate();
        }
        *self.response.borrow_mut() = Some(Response {
            since: held,
            rows: held.map_or_else(|| store.live(), |held| store.changed_since(held.number)),
            version: store.newest(),
        });
    }

    /// Receives the response that is under way.
    fn receive(&self, store: &Store) {
        let Some(res) = self.response.take() else {
            return;
        };
        let now = BootTime::default();
        match res.since {
            Some(since) => self.table.apply(res.rows, since, res.version, now),
            None => self.table.replace(res.rows, res.version, now),
        };
        self.examine(store);
    }

    /// Reads until the copy is as new as the store; the changes of a new era cannot be applied.
    fn read(&self, store: &Store, has_history: bool) {
        for _ in 0..2 {
            self.send_read(store, has_history);
            self.receive(store);
            if self.table.era() == store.era && self.table.version().is_some() {
                return;
            }
        }
    }

    /// Fetches deltas from another daemon until it has no more.
    fn fetch_from(&self, other: &Daemon, store: &Store) {
        loop {
            let Some(delta) = other.table.delta_since(self.table.version()) else {
                return;
            };
            let more = delta.more;
            self.table.merge(delta, BootTime::default());
            self.examine(store);
            if !more {
                return;
            }
        }
    }

    /// Checks that no row reappears that this daemon knew to be removed, unless it was written again.
    fn examine(&self, store: &Store) {
        let (era, version) = (self.table.era(), self.table.version());
        let keys: BTreeSet<String> = self.sink.rows.borrow().keys().cloned().collect();
        let mut examined = self.examined.borrow_mut();
        let (last_era, last_keys, removed) = &mut *examined;
        if era == *last_era {
            let rows = version.map(|version| store.rows_at(version));
            let removed_at = |key: &String| {
                let row = rows?.get(key)?;
                Some((key.clone(), store.write_at(era, row.version)))
            };
            removed.extend(last_keys.difference(&keys).filter_map(removed_at));
        }
        if let Some(version) = version.filter(|v| v.era == store.era) {
            if era != *last_era {
                let latest = store.latest_start.get().max(version.number);
                store.latest_start.set(latest);
            }
        }
        for (key, removed_at) in removed.iter().filter(|(key, _)| keys.contains(*key)) {
            let value = self.sink.rows.borrow()[key].clone();
            let write = std::str::from_utf8(&value).map(str::parse::<u64>);
            let write = write.expect("text").expect("a number");
            assert!(write > *removed_at, "{key} reappeared");
        }
        removed.retain(|key, _| !keys.contains(key));
        (*last_era, *last_keys) = (era, keys);
    }

    fn matches(&self, store: &Store) -> bool {
        store.are_contents_at(&self.sink.rows.borrow(), store.newest())
    }

    /// Returns whether the copy, and one that a starting daemon fetches from it, hold the contents
    /// of the store at the version that the copy states.
    fn is_consistent(&self, store: &Store) -> bool {
        let Some(version) = self.table.version() else {
            return true;
        };
        let starting = Daemon::new();
        starting.fetch_from(self, store);
        [self, &starting].iter().all(|daemon| {
            let found = daemon.sink.rows.borrow();
            store.are_contents_at(&found, version)
        })
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Put { key: u8, present: bool },
    RollBack { lost: u64 },
    Read { daemon: u8, has_history: bool },
    Send { daemon: u8, has_history: bool },
    Receive { daemon: u8 },
    Fetch { daemon: u8, other: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let daemon = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 17 {
            16 => Step::RollBack {
                lost: u64::arbitrary(g) % 4,
            },
            0..=3 => Step::Put {
                key: u8::arbitrary(g),
                present: bool::arbitrary(g),
            },
            4 | 5 => Step::Read {
                daemon,
                has_history: u8::arbitrary(g) % 3 > 0,
            },
            6 | 7 => Step::Send {
                daemon,
                has_history: u8::arbitrary(g) % 3 > 0,
            },
            8 | 9 => Step::Receive { daemon },
            _ => Step::Fetch {
                daemon,
                other: u8::arbitrary(g) % 3,
            },
        }
    }
}

/// Random histories per run; a fault in the tombstones of rows that were inserted and removed
/// between two reads shows in one of some thousand.
const HISTORIES: u64 = 30_000;

fn copies_match_store(steps: Vec<Step>) -> bool {
    let mut store = Store::default();
    let daemons = [Daemon::new(), Daemon::new(), Daemon::new()];
    steps.into_iter().all(|step| match step {
        Step::Put { key, present } => {
            store.put(key, present);
            true
        }
        Step::RollBack { lost } => {
            store.roll_back(lost);
            true
        }
        Step::Read {
            daemon,
            has_history,
        } => {
            let daemon = &daemons[usize::from(daemon)];
            daemon.read(&store, has_history);
            daemon.matches(&store)
        }
        Step::Fetch { daemon, other } if daemon != other => {
            let (daemon, other) = (&daemons[usize::from(daemon)], &daemons[usize::from(other)]);
            let newest = Some(store.newest());
            let is_current = daemon.table.version() == newest || other.table.version() == newest;
            daemon.fetch_from(other, &store);
            !is_current || daemon.matches(&store)
        }
        Step::Send {
            daemon,
            has_history,
        } => {
            daemons[usize::from(daemon)].send_read(&store, has_history);
            true
        }
        Step::Receive { daemon } => {
            let daemon = &daemons[usize::from(daemon)];
            daemon.receive(&store);
            daemon.is_consistent(&store)
        }
        Step::Fetch { .. } => true,
    })
}

#[test]
fn copy_fetched_from_a_current_daemon_matches_the_store() {
    QuickCheck::new()
        .max_tests(HISTORIES)
        .tests(HISTORIES)
        .quickcheck(copies_match_store as fn(Vec<Step>) -> bool);
}

/// Guards against a withdrawn key that works again at daemons which start: a response of the store
/// that was under way while newer changes came from another daemon put old rows back.
#[test]
fn late_response_of_the_store_puts_no_old_row_under_a_newer_version() {
    for has_history in [true, false] {
        let mut store = Store::default();
        let (reader, follower) = (Daemon::new(), Daemon::new());
        store.put(0, true);
        reader.read(&store, true);
        follower.read(&store, true);
        store.put(0, true);
        store.put(1, true);
        follower.send_read(&store, has_history);
        store.put(0, true);
        store.put(1, false);
        reader.read(&store, true);
        follower.fetch_from(&reader, &store);
        follower.receive(&store);
        assert_eq!(follower.table.version(), Some(store.newest()));
        assert!(follower.is_consistent(&store), "history: {has_history}");
    }
}

#[test]
fn many_changes_are_split_into_several_deltas() {
    let mut store = Store::default();
    let (reader, follower) = (Daemon::new(), Daemon::new());
    reader.read(&store, true);
    follower.fetch_from(&reader, &store);
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
    let first = reader.table.delta_since(follower.table.version());
    let first = first.expect("a delta");
    assert!(first.more && first.rows.len() < 200, "{}", first.rows.len());
    follower.fetch_from(&reader, &store);
    assert!(follower.matches(&store));
}

/// Guards against a row in force that a daemon loses as it gets all rows from one that withholds it:
/// the latter read the era later, and takes the row for that of the older copy.
#[test]
fn row_withheld_by_another_daemon_of_the_same_era_stays_in_force() {
    let put = |key, present| Step::Put { key, present };
    let read = |daemon| Step::Read {
        daemon,
        has_history: false,
    };
    let fetch = |daemon, other| Step::Fetch { daemon, other };
    let has_history = true;
    assert!(copies_match_store(vec![
        put(1, true),
        read(2),
        put(4, false),
        put(1, false),
        read(2),
        Step::RollBack { lost: 2 },
        read(0),
        fetch(1, 0),
        put(1, true),
        read(2),
        read(0),
        Step::RollBack { lost: 0 },
        Step::Send {
            daemon: 1,
            has_history,
        },
        fetch(1, 2),
        Step::Receive { daemon: 1 },
        fetch(1, 0),
    ]));
}
