//! A daemon's local copy of one table of the store.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
};

use bytes::Bytes;

use crate::{
    clock::BootTime,
    store::{Era, StoreVersion, StoredRow},
};

use super::{table_delta::RowChange, table_follower::TableSink, RowVersion, TableDelta};

/// Tombstones of removed rows kept for other daemons; a daemon whose copy is older gets all rows.
const MAX_TOMBSTONES: usize = 512;
/// Minimum size of a row that other daemons' changes may be compressed against, in bytes.
const LARGE_ROW_BYTES: usize = 4 * 1024;
/// Replaced values of large rows kept for daemons that still hold them.
const MAX_REPLACED: usize = 4;
/// Rows of one delta, which keep a response well below the size limit of a peer message.
const MAX_DELTA_ROWS: usize = 128;

/// A local copy of one table, updated from the store or from another daemon.
pub struct FollowedTable {
    name: &'static str,
    sink: Rc<dyn TableSink>,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    /// Era of the store to which all versions of the copy belong.
    era: Era,
    /// Version of the store that the copy reflects; `None` before the first read and while a full
    /// read is needed.
    version: Option<u64>,
    /// Newest version that the copy ever reflected; unlike `version`, it survives the need for a
    /// full read.
    last_version: u64,
    rows: BTreeMap<String, StoredRow>,
    tombstones: VecDeque<StoredRow>,
    /// Former values of large rows, oldest first.
    replaced: VecDeque<StoredRow>,
    /// Tombstones up to this version are not kept.
    tombstones_since: u64,
    /// Range of versions whose changes were not observed. Of the rows removed in it, only those
    /// that the copy held before have a tombstone.
    gap: Option<(u64, u64)>,
}

impl State {
    fn add_tombstone(&mut self, row: StoredRow) {
        if self.tombstones.len() >= MAX_TOMBSTONES {
            if let Some(oldest) = self.tombstones.pop_front() {
                self.tombstones_since = oldest.version;
            }
        }
        self.tombstones.push_back(row);
    }

    /// Inserts a row, and keeps the value that it replaces if that is large.
    fn insert(&mut self, row: &StoredRow) {
        let former = self.rows.insert(row.key.clone(), row.clone());
        let Some(former) = former.filter(|f| f.version != row.version && is_large(f)) else {
            return;
        };
        if self.replaced.len() >= MAX_REPLACED {
            self.replaced.pop_front();
        }
        self.replaced.push_back(former);
    }

    fn put(&mut self, row: &StoredRow) {
        if row.value.is_some() {
            self.insert(row);
        } else {
            // The tombstone is kept even if the row is unknown here: another daemon may hold a
            // row that was inserted and removed between two reads of this one.
            self.rows.remove(&row.key);
            self.add_tombstone(row.clone());
        }
    }

    /// Returns whether a row changed after the version that the copy reflects. A row of a full read
    /// that took several calls may be newer than that version itself.
    fn is_newer(&self, row: &StoredRow) -> bool {
        let held = self.rows.get(&row.key).map(|held| held.version);
        Some(row.version) > self.version.max(held)
    }

    /// Starts an empty copy in a later era, whose versions say nothing about those of this one.
    fn start_era(&mut self, era: Era) {
        *self = Self {
            era,
            ..Self::default()
        };
    }

    fn store_version(&self) -> Option<StoreVersion> {
        Some(StoreVersion::new(self.era, self.version?))
    }

    /// Replaces all rows by those of a full read as of `version`.
    fn replace(&mut self, rows: &[StoredRow], version: u64) {
        let kept: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let is_removed = |key: &&String| !kept.contains(key.as_str());
        let removed: Vec<String> = self.rows.keys().filter(is_removed).cloned().collect();
        for row in rows {
            self.insert(row);
        }
        for key in removed {
            self.rows.remove(&key);
            self.add_tombstone(StoredRow {
                key,
                value: None,
                version,
            });
        }
        self.record_gap(version);
        self.version = Some(version);
        self.last_version = version;
    }

    /// Records that changes between the last version and `version` were not observed.
    fn record_gap(&mut self, version: u64) {
        match (self.last_version, self.gap) {
            (0, _) => self.tombstones_since = version,
            (_, Some((_, end))) => self.tombstones_since = self.tombstones_since.max(end),
            (_, None) => {}
        }
        self.gap = Some((self.last_version, version));
    }

    /// Returns whether the tombstones are complete for a copy of version `held`.
    fn has_tombstones_since(&self, held: u64) -> bool {
        let in_gap = |(from, to): (u64, u64)| from < held && held < to;
        held >= self.tombstones_since && !self.gap.is_some_and(in_gap)
    }

    /// Returns the rows that changed after `held`, in the order of their versions.
    fn changed_since(&self, held: u64) -> Vec<&StoredRow> {
        let all = self.rows.values().chain(&self.tombstones);
        let mut rows: Vec<&StoredRow> = all.filter(|row| row.version > held).collect();
        rows.sort_by_key(|row| row.version);
        rows
    }
}

fn is_large(row: &StoredRow) -> bool {
    let size = row.value.as_ref().map_or(0, Bytes::len);
    size >= LARGE_ROW_BYTES
}

impl FollowedTable {
    /// Creates an empty copy of the table `name` that forwards each change to `sink`.
    pub fn new(name: &'static str, sink: Rc<dyn TableSink>) -> Self {
        Self {
            name,
            sink,
            state: RefCell::default(),
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
        let held = self.version();
        if held > Some(version) || self.era() > version.era {
            log::info!(table = self.name, held:? = held, row:? = version;
                "full read is older than the copy, ignored");
            self.sink.apply(Vec::new(), now);
            return self.era() == version.era;
        }
        if self.era() < version.era {
            log::info!(table = self.name, held:? = held, row:? = version, rows = rows.len();
                "all rows read in a new era of the store");
            self.state.borrow_mut().start_era(version.era);
        }
        self.state.borrow_mut().replace(&rows, version.number);
        self.sink.replace(rows, now);
        true
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
        let newer = {
            let mut state = self.state.borrow_mut();
            let newer: Vec<StoredRow> = rows.into_iter().filter(|r| state.is_newer(r)).collect();
            newer.iter().for_each(|row| state.put(row));
            state.version = state.version.max(Some(version));
            state.last_version = state.last_version.max(version);
            newer
        };
        if newer.len() < received {
            log::info!(table = self.name, held:? = self.version(), row = version,
                rows = received - newer.len(); "rows older than the copy ignored");
        }
        self.sink.apply(newer, now);
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
        rows.retain(|row| !whole || row.value.is_some());
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
                self.replace(rows.collect(), delta.version, now);
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
