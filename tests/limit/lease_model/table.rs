//! The platform's table, as the model needs it.

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

    pub(super) fn apply(&mut self, step: &LeaseChange, unchecked: bool) -> bool {
        match step {
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
        let held = self.slice.as_ref().map_or(0, |r| r.version);
        let other = change.session_check.as_ref();
        if held != change.version || other.is_some_and(|(id, v)| self.session_version(id) != *v) {
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
