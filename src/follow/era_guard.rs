//! Rows that a copy of a table passes on in place of those of a store that came back from an older copy.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use crate::{clock::BootTime, store::StoredRow};

use super::EraStart;

/// Time for which a row stays in force although the older copy has another value. Owners write their
/// rows again within seconds; the limit matters only if that happened before the first read of the era.
const OLDER_VALUE_GRACE: Duration = Duration::from_secs(10);
/// Keys of removed rows that are remembered; more than the largest fleet of today has targets.
const MAX_REMOVED: usize = 4096;

/// A row of an earlier era that stays in force.
#[derive(Debug, Clone)]
struct RetainedRow {
    row: StoredRow,
    until: BootTime,
}

/// Keeps known removals and newer rows of a table in force after the store came back from an older
/// copy, until the rows are written again.
///
/// Before the first new era it remembers removals only.
#[derive(Debug, Default)]
pub(super) struct EraGuard {
    /// Version of the first full read of the era. Rows that are not newer may be those of the older
    /// copy; `None` while the era is unstated.
    era_start: Option<u64>,
    /// Keys of removed rows, oldest first, some of which may have been inserted again.
    removals: VecDeque<String>,
    /// Removed rows, with the version of their removal or a later one.
    removed: BTreeMap<String, u64>,
    retained: BTreeMap<String, RetainedRow>,
}

impl EraGuard {
    /// Returns the version of the first full read of the era; `None` while the era is unstated.
    pub(super) fn era_start(&self) -> Option<u64> {
        self.era_start
    }

    /// Starts a new era, whose first full read returned `read`. `former` are the rows of the copy
    /// before, as of `former_version`; those for which `grace` returns a time stay in force if the
    /// read lacks them, for that time, or has older versions of them.
    pub(super) fn start_era(
        &mut self,
        start: &EraStart,
        former: &BTreeMap<String, StoredRow>,
        former_version: u64,
        read: &[StoredRow],
        grace: impl Fn(&str) -> Option<Duration>,
        now: BootTime,
    ) {
        let era_start = start.version;
        // A row may have been inserted and removed again between two reads.
        for (_, at) in self
            .removed
            .iter_mut()
            .filter(|(key, _)| !former.contains_key(*key))
        {
            *at = former_version.max(*at);
        }
        for row in read.iter().filter(|row| start.withheld.contains(&row.key)) {
            let known = self.removed.get(&row.key).copied().unwrap_or_default();
            self.set_removed(&row.key, known.max(row.version));
        }
        let mut in_force: BTreeMap<&str, StoredRow> = former
            .iter()
            .filter(|(_, row)| !self.is_withheld(row))
            .map(|(key, row)| (key.as_str(), row.clone()))
            .collect();
        for (key, retained) in &self.retained {
            in_force.insert(key, retained.row.clone());
        }
        for row in read.iter().filter(|row| row.version > era_start) {
            in_force.remove(row.key.as_str());
        }
        let read_rows: BTreeMap<&str, &StoredRow> =
            read.iter().map(|row| (row.key.as_str(), row)).collect();
        let retained = in_force.into_iter().filter_map(|(key, row)| {
            let lost_grace = grace(key)?;
            let grace = match read_rows.get(key) {
                None => lost_grace,
                Some(read) if read.version <= row.version && read.value != row.value => {
                    OLDER_VALUE_GRACE
                }
                Some(_) => return None,
            };
            let until = now + grace;
            Some((key.to_owned(), RetainedRow { row, until }))
        });
        self.retained = retained.collect();
        self.era_start = Some(era_start);
    }

    /// Records a row that was read or that changed.
    pub(super) fn record(&mut self, row: &StoredRow) {
        if self.era_start.is_some_and(|start| row.version <= start) {
            return;
        }
        self.retained.remove(&row.key);
        if row.value.is_some() {
            self.removed.remove(&row.key);
        } else {
            self.set_removed(&row.key, row.version);
        }
    }

    /// Records that a row is not in the store as of `version`, which may have been observed before.
    pub(super) fn record_missing(&mut self, key: &str, version: u64) {
        let known = self.removed.get(key).copied().unwrap_or_default();
        self.set_removed(key, known.max(version));
    }

    fn set_removed(&mut self, key: &str, version: u64) {
        if self.removed.insert(key.to_owned(), version).is_none() {
            self.removals.push_back(key.to_owned());
        }
        if self.removals.len() > MAX_REMOVED {
            if let Some(oldest) = self.removals.pop_front() {
                self.removed.remove(&oldest);
            }
        }
    }

    /// Returns whether a row of the older copy is not passed on, as it had been removed before. A row
    /// that is newer than its removal was written again.
    pub(super) fn is_withheld(&self, row: &StoredRow) -> bool {
        let removed_at = self.removed.get(&row.key);
        self.era_start.is_some_and(|start| row.version <= start)
            && removed_at.is_some_and(|at| row.version <= *at)
    }

    /// Returns the keys of the rows of an earlier era that are in force.
    pub(super) fn retained(&self) -> BTreeSet<String> {
        self.retained.keys().cloned().collect()
    }

    /// Returns all rows that are in force, given all rows of the store.
    pub(super) fn in_force(&self, mut rows: Vec<StoredRow>) -> Vec<StoredRow> {
        rows.retain(|row| !self.is_withheld(row) && !self.retained.contains_key(&row.key));
        rows.extend(self.retained.values().map(|retained| retained.row.clone()));
        rows
    }

    /// Returns when the next grace period ends.
    pub(super) fn next_release(&self) -> Option<BootTime> {
        self.retained.values().map(|retained| retained.until).min()
    }

    /// Ends the grace periods that are over, and returns the keys of their rows.
    pub(super) fn release(&mut self, now: BootTime) -> Vec<String> {
        let is_over = |retained: &RetainedRow| retained.until <= now;
        let ended = self.retained.iter().filter(|(_, r)| is_over(r));
        let ended: Vec<String> = ended.map(|(key, _)| key.clone()).collect();
        self.retained.retain(|_, retained| !is_over(retained));
        ended
    }
}
