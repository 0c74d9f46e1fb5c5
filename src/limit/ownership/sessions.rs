//! Decisions on the sessions of all daemons: which are live, and which have expired.

use crate::{
    clock::BootTime,
    lease::{Candidate, LeaseTerms, SessionId, SessionRow},
};

use super::{
    super::{LeaseChange, SessionChange},
    OwnershipState,
};

impl OwnershipState {
    /// Returns all live sessions except this daemon's own.
    pub fn other_live_sessions(&self, now: BootTime) -> Vec<(Candidate<'_>, SessionId)> {
        let live = self.live_sessions(now);
        let others = live.filter(|(id, _)| **id != self.session);
        others
            .map(|(id, row)| (candidate(id, row), id.clone()))
            .collect()
    }

    /// Returns the change that removes a session's row, which releases all portions that the
    /// session retained.
    pub fn session_removal(session: &SessionId, version: u64) -> LeaseChange {
        LeaseChange::Session(SessionChange {
            session: session.clone(),
            version,
            row: None,
        })
    }

    fn live_sessions(&self, now: BootTime) -> impl Iterator<Item = (&SessionId, &SessionRow)> {
        self.watch
            .sessions()
            .filter(move |(id, row)| !row.fenced && !self.watch.is_short_term_over(id, now))
    }

    pub(super) fn live_candidates(&self, now: BootTime) -> Vec<Candidate<'_>> {
        self.live_sessions(now)
            .map(|(id, row)| candidate(id, row))
            .collect()
    }

    /// Returns whether the table has been writable for a whole short term of `row`, so that its
    /// session had the opportunity to renew.
    fn may_fence(&self, row: &SessionRow, now: BootTime) -> bool {
        let wait = LeaseTerms::expiry_wait(row.short);
        self.full_phase_since
            .is_some_and(|at| now.since(at) >= wait)
    }

    /// Returns whether there are expired sessions that still have to be fenced or removed.
    pub fn has_stale_sessions(&self, now: BootTime) -> bool {
        !self.stale_session_changes(now).is_empty()
    }

    /// Returns the changes that remove the rows of earlier sessions of this host, which releases all
    /// portions that they retained.
    ///
    /// None of them is in use: no earlier process still runs, because this one has bound the host's
    /// peer address, and it starts a session only after its previous one ended.
    pub(super) fn predecessor_removals(&self) -> Vec<LeaseChange> {
        let is_predecessor =
            |id: &SessionId| id.host() == self.session.host() && *id != self.session;
        let sessions = self.watch.sessions().filter(|(id, _)| is_predecessor(id));
        let versions = sessions.filter_map(|(id, _)| Some((id, self.watch.get(id)?.1)));
        versions
            .map(|(id, version)| Self::session_removal(id, version))
            .collect()
    }

    /// Returns the changes that fence sessions whose short term is over, and remove fenced sessions
    /// whose long term is over or whose host was removed from the platform's list.
    pub(super) fn stale_session_changes(&self, now: BootTime) -> Vec<LeaseChange> {
        let mut changes = Vec::new();
        for (id, row) in self.watch.sessions() {
            let Some((_, version)) = self.watch.get(id) else {
                continue;
            };
            let removed = self.presence.is_removed(id.host(), now);
            if row.fenced && (removed || self.watch.is_long_term_over(id, now)) {
                changes.push(Self::session_removal(id, version));
            } else if !row.fenced
                && self.may_fence(row, now)
                && self.watch.is_short_term_over(id, now)
            {
                changes.push(LeaseChange::Session(SessionChange {
                    session: id.clone(),
                    version,
                    row: Some(row.fence()),
                }));
            }
        }
        changes
    }
}

fn candidate<'a>(id: &'a SessionId, row: &'a SessionRow) -> Candidate<'a> {
    Candidate {
        host: id.host(),
        data_centre: &row.data_centre,
    }
}
