//! A daemon's local copy of one table of the store.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;

use crate::{
    clock::BootTime,
    store::{Era, StoreVersion, StoredRow},
};

use super::{
    era_guard::EraGuard,
    table_copy::{is_large, removal, TableCopy},
    table_delta::RowChange,
    table_follower::{EraRows, TableSink},
    EraStart, RowVersion, TableDelta,
};

/// Rows of one delta, which keep a response well below the size limit of a peer message.
const MAX_DELTA_ROWS: usize = 128;

/// A local copy of one table, updated from the store or from another daemon.
pub struct FollowedTable {
    name: &'static str,
    sink: Rc<dyn TableSink>,
    state: RefCell<TableCopy>,
    guard: RefCell<EraGuard>,
}

impl FollowedTable {
    /// Creates an empty copy of the table `name` that forwards each change to `sink`.
    pub fn new(name: &'static str, sink: Rc<dyn TableSink>) -> Self {
        Self {
            name,
            sink,
            state: RefCell::default(),
            guard: RefCell::default(),
        }
    }

    /// Returns the table's name.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Returns the sink that receives the changes.
    pub fn sink(&self) -> &dyn TableSink {
        &*self.sink
    }

    /// Returns the version of the store that the copy reflects; `None` if a full read is needed.
    pub fn version(&self) -> Option<StoreVersion> {
        self.state.borrow().store_version()
    }

    /// Returns the era of the copy.
    pub fn era(&self) -> Era {
        self.state.borrow().era
    }

    /// Marks the copy as needing a full read, as the changes after its version are unavailable.
    pub fn invalidate(&self) {
        self.state.borrow_mut().version = None;
    }

    /// Replaces all rows by those of a full read as of `version`; returns whether the read is of the
    /// copy's era. Ignores the rows if the copy is
    /// newer or of a later era, as another daemon's changes may have been merged while the read was
    /// under way.
    pub fn replace(&self, rows: Vec<StoredRow>, version: StoreVersion, now: BootTime) -> bool {
        let start = EraStart {
            version: version.number,
            withheld: Vec::new(),
        };
        self.replace_since(rows, &start, version, now)
    }

    /// Replaces all rows; `start` is applied if they are the first ones of their era.
    fn replace_since(
        &self,
        rows: Vec<StoredRow>,
        start: &EraStart,
        version: StoreVersion,
        now: BootTime,
    ) -> bool {
        let held = self.version();
        if held > Some(version) || self.era() > version.era {
            log::info!(table = self.name, held:? = held, row:? = version;
                "full read is older than the copy, ignored");
            self.sink.apply(Vec::new(), now);
            return self.era() == version.era;
        }
        if self.era() < version.era {
            self.start_era(&rows, start, version, now);
        }
        let (in_force, era) = {
            let mut guard = self.guard.borrow_mut();
            let removed = self.state.borrow_mut().replace(&rows, version.number);
            for key in &removed {
                guard.record_missing(key, version.number);
            }
            rows.iter().for_each(|row| guard.record(row));
            let era = EraRows {
                era: version.era,
                start: guard.era_start(),
                retained: guard.retained(),
            };
            (guard.in_force(rows), era)
        };
        if version.era.is_stated() {
            self.sink.set_era(&era);
        }
        self.sink.replace(in_force, now);
        true
    }

    fn start_era(
        &self,
        rows: &[StoredRow],
        start: &EraStart,
        version: StoreVersion,
        now: BootTime,
    ) {
        let mut state = self.state.borrow_mut();
        let mut guard = self.guard.borrow_mut();
        let held = state.store_version();
        let grace = |key: &str| self.sink.grace(key);
        guard.start_era(start, &state.rows, state.last_version, rows, grace, now);
        state.start_era(version.era);
        let withheld = rows.iter().filter(|row| guard.is_withheld(row)).count();
        let retained = guard.retained().len();
        log::info!(table = self.name, held:? = held, row:? = version, rows = rows.len(),
            withheld = withheld, retained = retained; "all rows read in a new era of the store");
    }

    /// Returns when rows of an earlier era that are still in force are next released.
    pub fn next_release(&self) -> Option<BootTime> {
        self.guard.borrow().next_release()
    }

    /// Returns the rows that replace those whose grace period is over.
    fn released_rows(&self, now: BootTime) -> Vec<StoredRow> {
        let state = self.state.borrow();
        let released = self.guard.borrow_mut().release(now);
        if !released.is_empty() {
            log::info!(table = self.name, rows = released.len();
                "rows of an earlier era were not written again");
        }
        let current = |key: &String| {
            let row = state.rows.get(key).cloned();
            row.unwrap_or_else(|| removal(key, state.last_version))
        };
        released.iter().map(current).collect()
    }

    /// Applies the rows that changed after `since` up to `version`; there may be none. Ignores them
    /// unless both versions and the copy are of one era, and makes a full read necessary if they are
    /// of a later one than the copy. Returns whether the copy reflects them.
    pub fn apply(
        &self,
        rows: Vec<StoredRow>,
        since: StoreVersion,
        version: StoreVersion,
        now: BootTime,
    ) -> bool {
        let era = self.era();
        if era == version.era && since.era == era {
            self.apply_newer(rows, version.number, now);
            return true;
        }
        log::info!(table = self.name, held:? = self.version(), row:? = version, rows = rows.len();
            "changes of another era of the store ignored");
        if era < version.era {
            self.invalidate();
        }
        false
    }

    /// Applies rows of the copy's era without those that the copy already reflects, as another
    /// daemon's changes may have been merged while the response that holds the rows was under way.
    fn apply_newer(&self, rows: Vec<StoredRow>, version: u64, now: BootTime) {
        let received = rows.len();
        let mut newer = {
            let mut state = self.state.borrow_mut();
            let mut guard = self.guard.borrow_mut();
            let newer: Vec<StoredRow> = rows.into_iter().filter(|r| state.is_newer(r)).collect();
            for row in &newer {
                state.put(row);
                guard.record(row);
            }
            state.version = state.version.max(Some(version));
            state.last_version = state.last_version.max(version);
            newer
        };
        if newer.len() < received {
            log::info!(table = self.name, held:? = self.version(), row = version,
                rows = received - newer.len(); "rows older than the copy ignored");
        }
        newer.extend(self.released_rows(now));
        self.sink.apply(newer, now);
    }

    /// Returns a row as the store has it.
    pub fn row(&self, key: &str) -> Option<StoredRow> {
        self.state.borrow().rows.get(key).cloned()
    }

    /// Returns the largest row, if it is large enough to compress changes against it.
    pub fn large_row(&self) -> Option<StoredRow> {
        let state = self.state.borrow();
        let size = |row: &&StoredRow| row.value.as_ref().map_or(0, Bytes::len);
        let largest = state.rows.values().max_by_key(size);
        largest.filter(|row| is_large(row)).cloned()
    }

    /// Returns the value that a large row has or recently had at a version.
    pub fn value_at(&self, at: &RowVersion) -> Option<Bytes> {
        let state = self.state.borrow();
        if state.era != at.version.era {
            return None;
        }
        let number = at.version.number;
        let is_same = |row: &&StoredRow| row.key == at.key && row.version == number;
        let mut candidates = state.rows.get(&at.key).into_iter().chain(&state.replaced);
        candidates.find(is_same)?.value.clone()
    }

    /// Returns the changes since the version `held` by another daemon, or the first part of them;
    /// `None` if this copy needs a full read or is older than the other one.
    ///
    /// The delta holds all rows if `held` is `None` or of an earlier era, or the tombstones since then
    /// are incomplete.
    pub fn delta_since(&self, held: Option<StoreVersion>) -> Option<TableDelta> {
        let state = self.state.borrow();
        let known = state.version?;
        if held.is_some_and(|held| held.era > state.era) {
            return None;
        }
        let held = held.filter(|held| held.era == state.era).map(|h| h.number);
        let held = held.filter(|held| state.has_tombstones_since(*held));
        let whole = held.is_none();
        let from = held.unwrap_or_default();
        if from > known {
            return None;
        }
        let mut rows = state.changed_since(from);
        let guard = self.guard.borrow();
        rows.retain(|row| !whole || row.value.is_some());
        let era_start = guard.era_start().filter(|_| whole).map(|version| EraStart {
            version,
            withheld: (rows.iter().filter(|row| guard.is_withheld(row)))
                .map(|row| row.key.clone())
                .collect(),
        });
        let mut version = known;
        if !whole && rows.len() > MAX_DELTA_ROWS {
            // The rows of one transaction share a version and must not be split.
            let last = rows[MAX_DELTA_ROWS - 1].version;
            rows.retain(|row| row.version <= last);
            version = last;
        }
        Some(TableDelta {
            whole,
            version: StoreVersion::new(state.era, version),
            has_gap: state.gap.is_some_and(|(_, end)| end > from),
            more: version < known,
            rows: rows.into_iter().map(RowChange::from).collect(),
            era_start,
        })
    }

    /// Applies another daemon's delta, without the rows that this copy already reflects. A copy that
    /// needs a full read takes no rows that are older than those it had before. Changes within another
    /// era are ignored; all rows of a later era replace the copy.
    pub fn merge(&self, delta: TableDelta, now: BootTime) {
        let held = self.version();
        let last_version = {
            let state = self.state.borrow();
            StoreVersion::new(state.era, state.last_version)
        };
        let rows = delta.rows.into_iter().map(StoredRow::from);
        if delta.whole {
            if held < Some(delta.version) && last_version <= delta.version {
                let start = delta.era_start.unwrap_or(EraStart {
                    version: delta.version.number,
                    withheld: Vec::new(),
                });
                self.replace_since(rows.collect(), &start, delta.version, now);
            }
            return;
        }
        if held.is_none_or(|held| held.era != delta.version.era) {
            return;
        }
        if delta.has_gap && held < Some(delta.version) {
            self.state.borrow_mut().record_gap(delta.version.number);
        }
        self.apply_newer(rows.collect(), delta.version.number, now);
    }
}
