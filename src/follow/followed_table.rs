//! What a daemon knows of one table of the store.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use crate::{clock::BootTime, store::StoredRow};

use super::{table_delta::RowChange, table_follower::TableSink, TableDelta};

/// Removed rows that are remembered for other daemons; one that asks for older ones gets all rows.
const MAX_REMOVED: usize = 512;
/// Rows of one change; an answer stays far below the bound of a message between daemons.
const MAX_ROWS: usize = 128;

/// What a daemon knows of one table, from the store or from another daemon.
pub struct FollowedTable {
    name: &'static str,
    sink: Rc<dyn TableSink>,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    /// Version of the store up to which the table is known; none before the first reading.
    version: Option<u64>,
    /// The newest version that was known, also while the table must be read whole.
    followed_to: u64,
    rows: BTreeMap<String, StoredRow>,
    removed: VecDeque<StoredRow>,
    /// Rows that were removed up to this version are no longer remembered.
    removed_from: u64,
    /// Versions between which changes were not followed; what was removed between them is known
    /// only as far as it was known before.
    gap: Option<(u64, u64)>,
}

impl State {
    fn note_removed(&mut self, row: StoredRow) {
        if self.removed.len() >= MAX_REMOVED {
            if let Some(dropped) = self.removed.pop_front() {
                self.removed_from = dropped.version;
            }
        }
        self.removed.push_back(row);
    }

    fn put(&mut self, row: &StoredRow) {
        if row.value.is_some() {
            self.rows.insert(row.key.clone(), row.clone());
        } else {
            // Another daemon may have seen a row that came and went between two readings here.
            self.rows.remove(&row.key);
            self.note_removed(row.clone());
        }
    }

    /// Takes over all rows as of `version`.
    fn replace(&mut self, rows: &[StoredRow], version: u64) {
        let mut gone = std::mem::take(&mut self.rows);
        for row in rows {
            gone.remove(&row.key);
            self.rows.insert(row.key.clone(), row.clone());
        }
        for key in gone.into_keys() {
            self.note_removed(StoredRow {
                key,
                value: None,
                version,
            });
        }
        self.note_gap(version);
        self.version = Some(version);
        self.followed_to = version;
    }

    /// Takes note that changes between the version known so far and `version` were not followed.
    fn note_gap(&mut self, version: u64) {
        match (self.followed_to, self.gap) {
            (0, _) => self.removed_from = version,
            (_, Some((_, end))) => self.removed_from = self.removed_from.max(end),
            (_, None) => {}
        }
        self.gap = Some((self.followed_to, version));
    }

    /// Tells whether the removals behind `held` are known.
    fn knows_removals_since(&self, held: u64) -> bool {
        let in_gap = |(from, to): (u64, u64)| from < held && held < to;
        held >= self.removed_from && !self.gap.is_some_and(in_gap)
    }

    /// Returns the rows that changed behind `held`, in the order of their versions.
    fn changed_since(&self, held: u64) -> Vec<&StoredRow> {
        let all = self.rows.values().chain(&self.removed);
        let mut rows: Vec<&StoredRow> = all.filter(|row| row.version > held).collect();
        rows.sort_by_key(|row| row.version);
        rows
    }
}

impl FollowedTable {
    /// Makes the empty copy of the table `name`, which tells `sink` of each change.
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

    /// Returns what is told of each change.
    pub fn sink(&self) -> &dyn TableSink {
        &*self.sink
    }

    /// Returns the version of the store up to which the table is known; none when it must be read
    /// whole.
    pub fn version(&self) -> Option<u64> {
        self.state.borrow().version
    }

    /// Takes note that changes behind the known version cannot be had.
    pub fn invalidate(&self) {
        self.state.borrow_mut().version = None;
    }

    /// Takes over all rows as of `version`.
    pub fn replace(&self, rows: Vec<StoredRow>, version: u64, now: BootTime) {
        self.state.borrow_mut().replace(&rows, version);
        self.sink.replace(rows, now);
    }

    /// Takes over the rows that changed up to `version`, which may be none.
    pub fn apply(&self, rows: Vec<StoredRow>, version: u64, now: BootTime) {
        {
            let mut state = self.state.borrow_mut();
            rows.iter().for_each(|row| state.put(row));
            state.version = state.version.max(Some(version));
            state.followed_to = state.followed_to.max(version);
        }
        self.sink.apply(rows, now);
    }

    /// Returns what changed behind the version that another daemon holds, or the first part of
    /// it; none while this daemon knows less than that one.
    pub fn delta_since(&self, held: Option<u64>) -> Option<TableDelta> {
        let state = self.state.borrow();
        let known = state.version?;
        let held = held.filter(|held| state.knows_removals_since(*held));
        let whole = held.is_none();
        let from = held.unwrap_or_default();
        if from > known {
            return None;
        }
        let mut rows = state.changed_since(from);
        rows.retain(|row| !whole || row.value.is_some());
        let mut version = known;
        if !whole && rows.len() > MAX_ROWS {
            // Rows of one transaction share a version and stay together.
            let last = rows[MAX_ROWS - 1].version;
            rows.retain(|row| row.version <= last);
            version = last;
        }
        Some(TableDelta {
            whole,
            version,
            has_gap: state.gap.is_some_and(|(_, end)| end > from),
            more: version < known,
            rows: rows.into_iter().map(RowChange::from).collect(),
        })
    }

    /// Takes over what another daemon knows, without what is known here already.
    pub fn merge(&self, delta: TableDelta, now: BootTime) {
        let held = self.version();
        let rows = delta.rows.into_iter().map(StoredRow::from);
        if delta.whole {
            if held.is_none_or(|held| held < delta.version) {
                self.replace(rows.collect(), delta.version, now);
            }
            return;
        }
        if held.is_none() {
            return;
        }
        if delta.has_gap && held < Some(delta.version) {
            self.state.borrow_mut().note_gap(delta.version);
        }
        let newer = rows.filter(|row| Some(row.version) > held);
        self.apply(newer.collect(), delta.version, now);
    }
}
