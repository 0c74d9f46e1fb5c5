//! The rows of one table as of one version of the store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;

use crate::store::{Era, StoreVersion, StoredRow};

/// Tombstones of removed rows kept for other daemons; a daemon whose copy is older gets all rows.
const MAX_TOMBSTONES: usize = 512;
/// Minimum size of a row that other daemons' changes may be compressed against, in bytes.
const LARGE_ROW_BYTES: usize = 4 * 1024;
/// Replaced values of large rows kept for daemons that still hold them.
const MAX_REPLACED: usize = 4;

/// The rows of a table as of one version of the store, and what is kept of earlier ones.
#[derive(Default)]
pub(super) struct TableCopy {
    /// Era of the store to which all versions of the copy belong.
    pub(super) era: Era,
    /// Version of the store that the copy reflects; `None` before the first read and while a full
    /// read is needed.
    pub(super) version: Option<u64>,
    /// Newest version that the copy ever reflected; unlike `version`, it survives the need for a
    /// full read.
    pub(super) last_version: u64,
    pub(super) rows: BTreeMap<String, StoredRow>,
    pub(super) tombstones: VecDeque<StoredRow>,
    /// Former values of large rows, oldest first.
    pub(super) replaced: VecDeque<StoredRow>,
    /// Tombstones up to this version are not kept.
    pub(super) tombstones_since: u64,
    /// Range of versions whose changes were not observed. Of the rows removed in it, only those
    /// that the copy held before have a tombstone.
    pub(super) gap: Option<(u64, u64)>,
}

impl TableCopy {
    fn add_tombstone(&mut self, row: StoredRow) {
        if self.tombstones.len() >= MAX_TOMBSTONES {
            if let Some(oldest) = self.tombstones.pop_front() {
                self.tombstones_since = oldest.version;
            }
        }
        self.tombstones.push_back(row);
    }

    /// Inserts a row, and keeps the value that it replaces if that is large.
    pub(super) fn insert(&mut self, row: &StoredRow) {
        let former = self.rows.insert(row.key.clone(), row.clone());
        let Some(former) = former.filter(|f| f.version != row.version && is_large(f)) else {
            return;
        };
        if self.replaced.len() >= MAX_REPLACED {
            self.replaced.pop_front();
        }
        self.replaced.push_back(former);
    }

    /// Inserts or removes a row that changed.
    pub(super) fn put(&mut self, row: &StoredRow) {
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
    pub(super) fn is_newer(&self, row: &StoredRow) -> bool {
        let held = self.rows.get(&row.key).map(|held| held.version);
        Some(row.version) > self.version.max(held)
    }

    /// Starts an empty copy in a later era, whose versions say nothing about those of this one.
    pub(super) fn start_era(&mut self, era: Era) {
        *self = Self {
            era,
            ..Self::default()
        };
    }

    /// Returns the version that the copy reflects; `None` if a full read is needed.
    pub(super) fn store_version(&self) -> Option<StoreVersion> {
        Some(StoreVersion::new(self.era, self.version?))
    }

    /// Replaces all rows by those of a full read as of `version`, and returns the keys of the others.
    pub(super) fn replace(&mut self, rows: &[StoredRow], version: u64) -> Vec<String> {
        let kept: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let is_removed = |key: &&String| !kept.contains(key.as_str());
        let removed: Vec<String> = self.rows.keys().filter(is_removed).cloned().collect();
        for row in rows {
            self.insert(row);
        }
        for key in &removed {
            self.rows.remove(key);
            self.add_tombstone(removal(key, version));
        }
        self.record_gap(version);
        self.version = Some(version);
        self.last_version = version;
        removed
    }

    /// Records that changes between the last version and `version` were not observed.
    pub(super) fn record_gap(&mut self, version: u64) {
        match (self.last_version, self.gap) {
            (0, _) => self.tombstones_since = version,
            (_, Some((_, end))) => self.tombstones_since = self.tombstones_since.max(end),
            (_, None) => {}
        }
        self.gap = Some((self.last_version, version));
    }

    /// Returns whether the tombstones are complete for a copy of version `held`.
    pub(super) fn has_tombstones_since(&self, held: u64) -> bool {
        let in_gap = |(from, to): (u64, u64)| from < held && held < to;
        held >= self.tombstones_since && !self.gap.is_some_and(in_gap)
    }

    /// Returns the rows that changed after `held`, in the order of their versions.
    pub(super) fn changed_since(&self, held: u64) -> Vec<&StoredRow> {
        let all = self.rows.values().chain(&self.tombstones);
        let mut rows: Vec<&StoredRow> = all.filter(|row| row.version > held).collect();
        rows.sort_by_key(|row| row.version);
        rows
    }
}

/// Returns the tombstone of a row.
pub(super) fn removal(key: &str, version: u64) -> StoredRow {
    StoredRow {
        key: key.to_owned(),
        value: None,
        version,
    }
}

/// Returns whether changes of a row may be compressed against an earlier value.
pub(super) fn is_large(row: &StoredRow) -> bool {
    let size = row.value.as_ref().map_or(0, Bytes::len);
    size >= LARGE_ROW_BYTES
}
