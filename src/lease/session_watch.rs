//! Other sessions' leases, as seen from outside.

use std::collections::BTreeMap;

use crate::clock::BootTime;

use super::{LeaseTerms, SessionId, SessionRow};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    version: u64,
    since: BootTime,
    row: SessionRow,
}

/// Other sessions' leases, as seen from outside: how long each row has stood still.
///
/// A term counts from when its row was first seen, which is later than its renewal was sent.
#[derive(Debug, Clone, Default)]
pub struct SessionWatch {
    seen: BTreeMap<SessionId, Seen>,
}

impl SessionWatch {
    /// Takes in one row as read; `now` lies after the read's answer.
    pub fn observe(&mut self, id: &SessionId, row: &SessionRow, version: u64, now: BootTime) {
        if self.seen.get(id).is_some_and(|s| s.version == version) {
            return;
        }
        let seen = Seen {
            version,
            since: now,
            row: row.clone(),
        };
        self.seen.insert(id.clone(), seen);
    }

    /// Forgets all sessions but those for which `is_present` holds.
    pub fn retain(&mut self, is_present: impl Fn(&SessionId) -> bool) {
        self.seen.retain(|id, _| is_present(id));
    }

    /// Returns the row and the version that were last seen; none when the row is absent.
    pub fn get(&self, id: &SessionId) -> Option<(&SessionRow, u64)> {
        self.seen.get(id).map(|s| (&s.row, s.version))
    }

    /// Returns the sessions that were last seen.
    pub fn sessions(&self) -> impl Iterator<Item = (&SessionId, &SessionRow)> {
        self.seen.iter().map(|(id, s)| (id, &s.row))
    }

    /// Tells whether the row stood still for the whole short term.
    pub fn is_short_term_over(&self, id: &SessionId, now: BootTime) -> bool {
        let over = |s: &Seen| now.since(s.since) >= LeaseTerms::expiry_wait(s.row.short);
        self.seen.get(id).is_some_and(over)
    }

    /// Tells whether the row stood still for the whole long term, or is absent.
    pub fn is_long_term_over(&self, id: &SessionId, now: BootTime) -> bool {
        let over = |s: &Seen| now.since(s.since) >= LeaseTerms::expiry_wait(s.row.long);
        self.seen.get(id).is_none_or(over)
    }
}
