//! A model of the store, which can come back from an older copy.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
};

use bytes::Bytes;
use chervillug::store::{Era, StoreVersion, StoredRow};

/// The values of the rows by their keys.
pub(crate) type Contents = BTreeMap<String, Bytes>;

/// A model of the store: the last change of each row, including removed ones.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) rows: BTreeMap<String, StoredRow>,
    pub(crate) version: u64,
    pub(crate) era: Era,
    pub(crate) number_of_eras: u64,
    /// Number of writes so far, which rollbacks do not reset.
    writes: u64,
    /// The writes that created the versions.
    writes_by_version: BTreeMap<StoreVersion, u64>,
    /// Version that the daemon read first which was the last one to meet this era.
    pub(crate) latest_start: Cell<u64>,
    /// Keys of rows that were removed in this era.
    removed: BTreeSet<String>,
    /// Keys of rows that were removed in an earlier era.
    pub(crate) removed_before: BTreeSet<String>,
    /// The rows at earlier versions.
    pub(crate) former: BTreeMap<StoreVersion, BTreeMap<String, StoredRow>>,
}

pub(crate) fn contents(rows: &BTreeMap<String, StoredRow>) -> Contents {
    let values = rows
        .values()
        .map(|r| Some((r.key.clone(), r.value.clone()?)));
    values.flatten().collect()
}

impl Store {
    pub(crate) fn put(&mut self, key: u8, present: bool) {
        self.former.insert(self.newest(), self.rows.clone());
        self.version += 1;
        let key = format!("k{}", key % 6);
        if !present {
            self.removed.insert(key.clone());
        }
        self.writes += 1;
        self.writes_by_version.insert(self.newest(), self.writes);
        let value = present.then(|| Bytes::from(self.writes.to_string()));
        let row = StoredRow {
            key: key.clone(),
            value,
            version: self.version,
        };
        self.rows.insert(key, row);
    }

    /// Comes back from a copy that lacks the newest `lost` versions. Values are numbers of writes and
    /// hence unique.
    pub(crate) fn roll_back(&mut self, lost: u64) {
        self.former.insert(self.newest(), self.rows.clone());
        self.removed_before.append(&mut self.removed);
        self.latest_start.set(0);
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
        let era = Era::stated(self.number_of_eras);
        for number in 1..=self.version {
            let write = self.write_at(self.era, number);
            self.writes_by_version
                .insert(StoreVersion::new(era, number), write);
        }
        self.era = era;
    }

    /// Returns the number of the write that created a version.
    pub(crate) fn write_at(&self, era: Era, number: u64) -> u64 {
        let write = self.writes_by_version.get(&StoreVersion::new(era, number));
        write.copied().unwrap_or_default()
    }

    pub(crate) fn newest(&self) -> StoreVersion {
        StoreVersion::new(self.era, self.version)
    }

    pub(crate) fn live(&self) -> Vec<StoredRow> {
        let live = self.rows.values().filter(|row| row.value.is_some());
        live.cloned().collect()
    }

    pub(crate) fn rows_at(&self, version: StoreVersion) -> &BTreeMap<String, StoredRow> {
        self.former.get(&version).unwrap_or(&self.rows)
    }

    /// Returns whether `found` are the contents at a version, without rows that may be withheld: those
    /// of the copy from which the store came back that had been removed before.
    pub(crate) fn are_contents_at(&self, found: &Contents, version: StoreVersion) -> bool {
        let rows = self.rows_at(version);
        let expected = contents(rows);
        let may_lack = |key: &String| {
            let is_old = version.era != self.era || rows[key].version <= self.latest_start.get();
            version.era.is_stated() && is_old && self.removed_before.contains(key)
        };
        found
            .iter()
            .all(|(key, value)| expected.get(key) == Some(value))
            && expected
                .keys()
                .all(|key| found.contains_key(key) || may_lack(key))
    }

    pub(crate) fn changed_since(&self, version: u64) -> Vec<StoredRow> {
        let changed = self.rows.values().filter(|row| row.version > version);
        let mut rows: Vec<StoredRow> = changed.cloned().collect();
        rows.sort_by_key(|row| row.version);
        rows
    }
}
