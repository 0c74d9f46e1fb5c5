//! Model of the table service with one claim row.

use chervillug::claim::{ClaimEvent, ClaimRow};

/// A write to the row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Write {
    row: ClaimRow,
    /// Expected version of the row, 0 if it must not exist; `None` disables the check.
    version: Option<u64>,
}

impl Write {
    pub(crate) fn new(row: ClaimRow, version: Option<u64>) -> Self {
        Self { row, version }
    }
}

/// The table service with one claim row and the writes still in transit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct ModelTable {
    row: Option<(ClaimRow, u64)>,
    last_version: u64,
    delayed: Vec<Write>,
}

/// One possible result of a call.
pub(crate) struct CallResult {
    pub(crate) table: ModelTable,
    pub(crate) event: ClaimEvent<'static>,
    pub(crate) found: Option<(ClaimRow, u64)>,
    /// Number of faults that this result uses up.
    pub(crate) faults: u8,
}

impl ModelTable {
    fn apply(&mut self, write: &Write) -> bool {
        let version = self.row.as_ref().map_or(0, |(_, version)| *version);
        if write.version.is_some_and(|v| v != version) {
            return false;
        }
        self.last_version += 1;
        self.row = Some((write.row.clone(), self.last_version));
        true
    }

    /// Returns the possible results of a write: answered, lost after it was applied, refused, and
    /// lost while the write is delayed.
    pub(crate) fn write(&self, write: &Write, faults_left: u8) -> Vec<CallResult> {
        let result = |table, event, faults| CallResult {
            table,
            event,
            found: None,
            faults,
        };
        let mut done = self.clone();
        let event = if done.apply(write) {
            ClaimEvent::Stored
        } else {
            ClaimEvent::Conflict
        };
        let mut results = vec![result(done.clone(), event, 0)];
        if faults_left > 0 {
            let mut later = self.clone();
            later.delayed.push(write.clone());
            results.push(result(done, ClaimEvent::WriteLost, 1));
            results.push(result(self.clone(), ClaimEvent::WriteRefused, 1));
            results.push(result(later, ClaimEvent::WriteLost, 1));
        }
        results
    }

    /// Returns the possible results of a read.
    pub(crate) fn read(&self, faults_left: u8) -> Vec<CallResult> {
        let result = |event, found, faults| CallResult {
            table: self.clone(),
            event,
            found,
            faults,
        };
        let mut results = vec![result(ClaimEvent::Absent, self.row.clone(), 0)];
        if faults_left > 0 {
            results.push(result(ClaimEvent::ReadFailed, None, 1));
        }
        results
    }

    /// Returns the tables that result from applying one more delayed write.
    pub(crate) fn apply_delayed(&self) -> Vec<Self> {
        let land = |i| {
            let mut table = self.clone();
            let write = table.delayed.remove(i);
            table.apply(&write);
            table
        };
        (0..self.delayed.len()).map(land).collect()
    }
}
