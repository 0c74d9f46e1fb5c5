//! The leases of all sessions from an observer's point of view.

use std::collections::BTreeMap;

use crate::clock::BootTime;

use super::{LeaseTerms, SessionId, SessionRow};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Observed {
    version: u64,
    since: BootTime,
    row: SessionRow,
}

/// The leases of all sessions from an observer's point of view, judged by how long each row has
/// been unchanged.
///
/// A term is counted from when its row version was first read, which is after its renewal was
/// sent.
#[derive(Debug, Clone, Default)]
pub struct SessionWatch {
    sessions: BTreeMap<SessionId, Observed>,
}

impl SessionWatch {
    /// Updates the state from one row; `now` must be after the response to the read.
    pub fn observe(&mut self, id: &SessionId, row: &SessionRow, version: u64, now: BootTime) {
        if self.sessions.get(id).is_some_and(|s| s.version == version) {
            return;
        }
        let observed = Observed {
            version,
            since: now,
            row: row.clone(),
        };
        self.sessions.insert(id.clone(), observed);
    }

    /// Removes all sessions for which `is_present` returns false.
    pub fn retain(&mut self, is_present: impl Fn(&SessionId) -> bool) {
        self.sessions.retain(|id, _| is_present(id));
    }

    /// Returns the row and its version as last read; `None` if the row is absent.
    pub fn get(&self, id: &SessionId) -> Option<(&SessionRow, u64)> {
        self.sessions.get(id).map(|s| (&s.row, s.version))
    }

    /// Returns the sessions as last read.
    pub fn sessions(&self) -> impl Iterator<Item = (&SessionId, &SessionRow)> {
        self.sessions.iter().map(|(id, s)| (id, &s.row))
    }

    /// Returns whether the row has been unchanged for the whole short term.
    pub fn is_short_term_over(&self, id: &SessionId, now: BootTime) -> bool {
        let is_over = |s: &Observed| now.since(s.since) >= LeaseTerms::expiry_wait(s.row.short);
        self.sessions.get(id).is_some_and(is_over)
    }

    /// Returns whether the row has been unchanged for the whole long term, or is absent.
    pub fn is_long_term_over(&self, id: &SessionId, now: BootTime) -> bool {
        let is_over = |s: &Observed| now.since(s.since) >= LeaseTerms::expiry_wait(s.row.long);
        self.sessions.get(id).is_none_or(is_over)
    }
}
