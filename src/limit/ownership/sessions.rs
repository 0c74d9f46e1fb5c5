//! The sessions of all daemons: which renew, and which ended.

use crate::{
    clock::BootTime,
    lease::{Candidate, LeaseTerms, SessionId, SessionRow},
};

use super::{
    super::{LeaseChange, SessionChange},
    OwnershipState,
};

impl OwnershipState {
    /// Returns the sessions of other hosts that renew, one a host.
    pub fn other_live_sessions(&self, now: BootTime) -> Vec<(Candidate<'_>, SessionId)> {
        let live = self.live_sessions(now);
        let others = live.filter(|(id, _)| **id != self.session);
        others
            .map(|(id, row)| (candidate(id, row), id.clone()))
            .collect()
    }

    /// Returns the change that removes the session's row, which releases whatever it kept.
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

    pub(super) fn live(&self, now: BootTime) -> Vec<Candidate<'_>> {
        self.live_sessions(now)
            .map(|(id, row)| candidate(id, row))
            .collect()
    }

    /// Tells whether the table could be written for a whole short term of `row`, so that its
    /// session had the chance to renew.
    fn may_fence(&self, row: &SessionRow, now: BootTime) -> bool {
        let needed = LeaseTerms::expiry_wait(row.short);
        self.full_since.is_some_and(|at| now.since(at) >= needed)
    }

    /// Tells whether a session ended that is still to be fenced or removed.
    pub fn has_ended_sessions(&self, now: BootTime) -> bool {
        !self.session_steps(now).is_empty()
    }

    /// Removes the rows of earlier processes of this host, which releases whatever they kept.
    ///
    /// This process holds the host's peer address, so that none of them still runs.
    pub(super) fn predecessor_steps(&self) -> Vec<LeaseChange> {
        let is_predecessor =
            |id: &SessionId| id.host() == self.session.host() && *id != self.session;
        let sessions = self.watch.sessions().filter(|(id, _)| is_predecessor(id));
        let versions = sessions.filter_map(|(id, _)| Some((id, self.watch.get(id)?.1)));
        versions
            .map(|(id, version)| Self::session_removal(id, version))
            .collect()
    }

    /// Fences sessions whose short term is over, and removes those whose long term is.
    pub(super) fn session_steps(&self, now: BootTime) -> Vec<LeaseChange> {
        let mut steps = Vec::new();
        for (id, row) in self.watch.sessions() {
            let Some((_, version)) = self.watch.get(id) else {
                continue;
            };
            let dropped = self.presence.is_dropped(id.host(), now);
            if row.fenced && (dropped || self.watch.is_long_term_over(id, now)) {
                steps.push(Self::session_removal(id, version));
            } else if !row.fenced
                && self.may_fence(row, now)
                && self.watch.is_short_term_over(id, now)
            {
                steps.push(LeaseChange::Session(SessionChange {
                    session: id.clone(),
                    version,
                    row: Some(row.fence()),
                }));
            }
        }
        steps
    }
}

fn candidate<'a>(id: &'a SessionId, row: &'a SessionRow) -> Candidate<'a> {
    Candidate {
        host: id.host(),
        data_centre: &row.data_centre,
    }
}
