//! The table service with its one claim row.

use chervillug::claim::{ClaimEvent, ClaimRow};

/// A write to the row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Write {
    row: ClaimRow,
    /// Version that the row must have, 0 for an absent one; none is not checked.
    version: Option<u64>,
}

impl Write {
    pub(crate) fn new(row: ClaimRow, version: Option<u64>) -> Self {
        Self { row, version }
    }
}

/// The table service with its one claim row, and the writes still on their way.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct ModelTable {
    row: Option<(ClaimRow, u64)>,
    last_version: u64,
    delayed: Vec<Write>,
}

/// One end of a call.
pub(crate) struct Called {
    pub(crate) table: ModelTable,
    pub(crate) event: ClaimEvent<'static>,
    pub(crate) found: Option<(ClaimRow, u64)>,
    /// Faults that this end takes.
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

    /// Returns the ends of a write: answered, and lost before, after and long before its effect.
    pub(crate) fn write(&self, write: &Write, faults_left: u8) -> Vec<Called> {
        let called = |table, event, faults| Called {
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
        let mut ends = vec![called(done.clone(), event, 0)];
        if faults_left > 0 {
            let mut later = self.clone();
            later.delayed.push(write.clone());
            ends.push(called(done, ClaimEvent::WriteLost, 1));
            ends.push(called(self.clone(), ClaimEvent::WriteRefused, 1));
            ends.push(called(later, ClaimEvent::WriteLost, 1));
        }
        ends
    }

    /// Returns the ends of a read.
    pub(crate) fn read(&self, faults_left: u8) -> Vec<Called> {
        let called = |event, found, faults| Called {
            table: self.clone(),
            event,
            found,
            faults,
        };
        let mut ends = vec![called(ClaimEvent::Absent, self.row.clone(), 0)];
        if faults_left > 0 {
            ends.push(called(ClaimEvent::ReadFailed, None, 1));
        }
        ends
    }

    /// Returns the tables after one delayed write more.
    pub(crate) fn landings(&self) -> Vec<Self> {
        let land = |i| {
            let mut table = self.clone();
            let write = table.delayed.remove(i);
            table.apply(&write);
            table
        };
        (0..self.delayed.len()).map(land).collect()
    }
}
