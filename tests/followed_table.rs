//! Property tests of the table changes that daemons exchange, checked against a model of the store.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use bytes::Bytes;
use chervillug::{
    clock::BootTime,
    follow::{FollowedTable, TableSink},
    store::{Era, StoreVersion, StoredRow},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

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

/// The values of the rows by their keys.
type Contents = BTreeMap<String, Bytes>;

/// A model of the store: the last change of each row, including removed ones.
#[derive(Default)]
struct Store {
    rows: BTreeMap<String, StoredRow>,
    version: u64,
    era: Era,
    number_of_eras: u64,
    /// The rows at earlier versions.
    former: BTreeMap<StoreVersion, BTreeMap<String, StoredRow>>,
}

fn contents(rows: &BTreeMap<String, StoredRow>) -> Contents {
    let values = rows
        .values()
        .map(|r| Some((r.key.clone(), r.value.clone()?)));
    values.flatten().collect()
}

impl Store {
    fn put(&mut self, key: u8, present: bool) {
        self.former.insert(self.newest(), self.rows.clone());
        self.version += 1;
        let key = format!("k{}", key % 6);
        let value = present.then(|| Bytes::from(format!("{:?}", self.newest())));
        let row = StoredRow {
            key: key.clone(),
            value,
            version: self.version,
        };
        self.rows.insert(key, row);
    }

    /// Comes back from a copy that lacks the newest `lost` versions. The rows get other values than
    /// before when they are written again under the same versions.
    fn roll_back(&mut self, lost: u64) {
        self.former.insert(self.newest(), self.rows.clone());
        self.version = self.version.saturating_sub(lost);
        let copies = self.former.iter().rev();
        let mut copies = copies.filter(|(at, _)| at.era == self.era && at.number <= self.version);
        // The oldest copy of an era may be newer than that.
        self.rows = copies
            .next()
            .map(|(_, rows)| rows.clone())
            .unwrap_or_default();
        self.rows.retain(|_, row| row.version <= self.version);
        self.number_of_eras += 1;
        self.era = Era::stated(self.number_of_eras);
    }

    fn newest(&self) -> StoreVersion {
        StoreVersion::new(self.era, self.version)
    }

    fn live(&self) -> Vec<StoredRow> {
        let live = self.rows.values().filter(|row| row.value.is_some());
        live.cloned().collect()
    }

    fn contents(&self) -> Contents {
        contents(&self.rows)
    }

    fn contents_at(&self, version: StoreVersion) -> Contents {
        let former = self.former.get(&version).map(contents);
        former.unwrap_or_else(|| self.contents())
    }

    fn changed_since(&self, version: u64) -> Vec<StoredRow> {
        let changed = self.rows.values().filter(|row| row.version > version);
        let mut rows: Vec<StoredRow> = changed.cloned().collect();
        rows.sort_by_key(|row| row.version);
        rows
    }
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
    response: RefCell<Option<Response>>,
}

impl Daemon {
    fn new() -> Self {
        let sink = Rc::new(RecordingSink::default());
        Self {
            table: FollowedTable::new("t", sink.clone()),
            sink,
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
    fn receive(&self) {
        let Some(res) = self.response.take() else {
            return;
        };
        let now = BootTime::default();
        match res.since {
            Some(since) => self.table.apply(res.rows, since, res.version, now),
            None => self.table.replace(res.rows, res.version, now),
        };
    }

    /// Reads until the copy is as new as the store; the changes of a new era cannot be applied.
    fn read(&self, store: &Store, has_history: bool) {
        for _ in 0..2 {
            self.send_read(store, has_history);
            self.receive();
            if self.table.era() == store.era && self.table.version().is_some() {
                return;
            }
        }
    }

    /// Fetches deltas from another daemon until it has no more.
    fn fetch_from(&self, other: &Daemon) {
        loop {
            let Some(delta) = other.table.delta_since(self.table.version()) else {
                return;
            };
            let more = delta.more;
            self.table.merge(delta, BootTime::default());
            if !more {
                return;
            }
        }
    }

    fn matches(&self, store: &Store) -> bool {
        *self.sink.rows.borrow() == store.contents()
    }

    /// Returns whether the copy, and one that a starting daemon fetches from it, hold the contents
    /// of the store at the version that the copy states.
    fn is_consistent(&self, store: &Store) -> bool {
        let Some(version) = self.table.version() else {
            return true;
        };
        let expected = store.contents_at(version);
        let starting = Daemon::new();
        starting.fetch_from(self);
        *self.sink.rows.borrow() == expected && *starting.sink.rows.borrow() == expected
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
            daemon.fetch_from(other);
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
            daemon.receive();
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
        follower.fetch_from(&reader);
        follower.receive();
        assert_eq!(follower.table.version(), Some(store.newest()));
        assert!(follower.is_consistent(&store), "history: {has_history}");
    }
}

#[test]
fn many_changes_are_split_into_several_deltas() {
    let mut store = Store::default();
    let (reader, follower) = (Daemon::new(), Daemon::new());
    reader.read(&store, true);
    follower.fetch_from(&reader);
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
    follower.fetch_from(&reader);
    assert!(follower.matches(&store));
}
