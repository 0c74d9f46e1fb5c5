//! A model of the platform's table.

use std::collections::BTreeMap;

use chervillug::{
    lease::{SessionId, SessionRow, SliceRow},
    limit::{LeaseChange, SliceChange, Versioned},
};

#[derive(Debug, Clone)]
pub(super) struct Table {
    pub(super) sessions: BTreeMap<SessionId, Versioned<SessionRow>>,
    pub(super) slice: Option<Versioned<SliceRow>>,
    pub(super) last_version: u64,
}

impl Table {
    pub(super) fn session_version(&self, id: &SessionId) -> u64 {
        self.sessions.get(id).map_or(0, |r| r.version)
    }

    pub(super) fn apply(&mut self, change: &LeaseChange, unchecked: bool) -> bool {
        match change {
            LeaseChange::Session(change) => {
                if !unchecked && self.session_version(&change.session) != change.version {
                    return false;
                }
                self.last_version += 1;
                let version = self.last_version;
                match change.row.clone() {
                    Some(row) => {
                        let row = Versioned { row, version };
                        self.sessions.insert(change.session.clone(), row);
                    }
                    None => {
                        self.sessions.remove(&change.session);
                    }
                }
                true
            }
            LeaseChange::Slice(change) => self.apply_slice(change),
        }
    }

    fn apply_slice(&mut self, change: &SliceChange) -> bool {
        let version = self.slice.as_ref().map_or(0, |r| r.version);
        let session_check = change.session_check.as_ref();
        let is_stale = |(id, v): &(SessionId, u64)| self.session_version(id) != *v;
        if version != change.version || session_check.is_some_and(is_stale) {
            return false;
        }
        self.last_version += 1;
        self.slice = Some(Versioned {
            row: change.row.clone(),
            version: self.last_version,
        });
        true
    }
}
