//! The ownership state of one daemon: its lease, its slices and the leases of other daemons.

mod sessions;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use crate::{
    catalog::Plan,
    clock::BootTime,
    lease::{
        preferred_host, Candidate, LeasePhase, LeaseTerms, Portion, Renewal, SessionId,
        SessionLease, SessionRow, SessionWatch, SliceId, SliceRow,
    },
};

use super::{
    BucketLevels, HostPresence, LeaseChange, OwnedSlices, SessionChange, SliceChange, TakeOutcome,
};

/// Time after the first read of the sessions in which slices without an owner are assigned among
/// the hosts that the platform lists, not only among live sessions.
const CLAIM_GRACE: Duration = Duration::from_secs(3);

/// A row with its version as read from the table.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    /// The row.
    pub row: T,
    /// Its version.
    pub version: u64,
}

/// The ownership state of one daemon: its lease, its slices and the leases of other daemons.
#[derive(Debug, Clone)]
pub struct OwnershipState {
    session: SessionId,
    data_centre: String,
    lease: SessionLease,
    own_version: u64,
    watch: SessionWatch,
    owned: OwnedSlices,
    rows: BTreeMap<SliceId, Versioned<SliceRow>>,
    first_read: Option<BootTime>,
    presence: HostPresence,
    full_phase_since: Option<BootTime>,
    handed_over: BTreeMap<(SliceId, u64), BucketLevels>,
}

impl OwnershipState {
    /// Creates the state of a session that holds no lease yet.
    pub fn new(session: SessionId, data_centre: &str) -> Self {
        Self {
            session,
            data_centre: data_centre.to_owned(),
            lease: SessionLease::default(),
            own_version: 0,
            watch: SessionWatch::default(),
            owned: OwnedSlices::default(),
            rows: BTreeMap::default(),
            first_read: None,
            presence: HostPresence::default(),
            full_phase_since: None,
            handed_over: BTreeMap::default(),
        }
    }

    /// Returns the session.
    pub fn session(&self) -> &SessionId {
        &self.session
    }

    /// Returns the phase of the lease at `now`.
    pub fn phase(&self, now: BootTime) -> LeasePhase {
        self.lease.phase(now)
    }

    /// Returns whether the session has ended for good.
    pub fn has_ended(&self) -> bool {
        self.lease.has_ended()
    }

    /// Returns the number of owned slices.
    pub fn owned_slice_count(&self) -> usize {
        self.owned.len()
    }

    /// Returns whether a slice is owned and may be used at `now`.
    pub fn may_use(&self, slice: SliceId, now: BootTime) -> bool {
        self.owned.contains(slice) && self.phase(now) != LeasePhase::Lapsed
    }

    /// Returns the owner of a slice as last read.
    pub fn owner_of(&self, slice: SliceId) -> Option<&SessionId> {
        self.rows.get(&slice).map(|r| &r.row.owner)
    }

    /// Takes one token of `workspace` from a slice.
    pub fn take(
        &mut self,
        slice: SliceId,
        workspace: &Rc<str>,
        plan: &Plan,
        now: BootTime,
    ) -> TakeOutcome {
        let phase = self.phase(now);
        self.owned.take(slice, workspace, plan, phase, now)
    }

    /// Begins a renewal of the lease and returns it with the row change that commits it.
    pub fn begin_renewal(&mut self, terms: LeaseTerms, now: BootTime) -> (Renewal, LeaseChange) {
        let renewal = self.lease.begin_renewal(terms, now);
        let row = SessionRow {
            counter: renewal.counter,
            fenced: false,
            short: terms.short,
            long: terms.long,
            data_centre: self.data_centre.clone(),
        };
        let change = LeaseChange::Session(SessionChange {
            session: self.session.clone(),
            version: self.own_version,
            row: Some(row),
        });
        (renewal, change)
    }

    /// Extends the lease after the table committed `renewal`.
    pub fn complete_renewal(&mut self, renewal: &Renewal) {
        if self.phase(renewal.sent) != LeasePhase::Full || self.full_phase_since.is_none() {
            self.full_phase_since = Some(renewal.sent);
        }
        self.lease.complete_renewal(renewal);
    }

    /// Ends the session; no slice may be used any more.
    pub fn end_session(&mut self) {
        self.lease.end();
        self.owned.clear();
        self.handed_over.clear();
    }

    /// Begins a new session after the previous one ended.
    pub fn begin_session(&mut self, session: SessionId) {
        *self = Self::new(session, &self.data_centre);
    }

    /// Stores the levels that another owner handed over for the change to `epoch`.
    pub fn receive_levels(&mut self, slice: SliceId, epoch: u64, levels: BucketLevels) {
        self.handed_over.insert((slice, epoch), levels);
    }

    /// Updates the state from all session rows; `now` must be after the response to the read.
    pub fn observe_sessions(&mut self, rows: &[(SessionId, Versioned<SessionRow>)], now: BootTime) {
        self.first_read.get_or_insert(now);
        self.watch
            .retain(|id| rows.iter().any(|(present, _)| present == id));
        for (id, read) in rows {
            self.watch.observe(id, &read.row, read.version, now);
        }
        let own = rows.iter().find(|(id, _)| *id == self.session);
        match own {
            Some((_, read)) if read.row.fenced => self.end_session(),
            Some((_, read)) => self.own_version = read.version,
            None if self.own_version > 0 => self.end_session(),
            None => {}
        }
    }

    /// Updates the state from the hosts that the platform lists, including those that are leaving.
    pub fn observe_listed<'a>(&mut self, listed: impl Iterator<Item = &'a str>, now: BootTime) {
        self.presence.observe(listed, now);
    }

    /// Updates the state from all slice rows.
    pub fn observe_slices(&mut self, rows: Vec<(SliceId, Versioned<SliceRow>)>, now: BootTime) {
        self.rows = rows.into_iter().collect();
        if self.has_ended() {
            return;
        }
        for (slice, read) in &self.rows {
            if read.row.owner != self.session {
                self.owned.remove(*slice, now);
                continue;
            }
            let levels = match self.handed_over.remove(&(*slice, read.row.epoch)) {
                Some(levels) => levels,
                None if read.row.epoch == 1 => BucketLevels::full(),
                None => BucketLevels::empty(),
            };
            self.owned
                .set_portions(*slice, &read.row.portions, levels, now);
        }
    }

    /// Returns the row changes that this daemon should make now for `slices`, given the hosts that
    /// the platform lists.
    pub fn pending_changes(
        &self,
        slices: &[SliceId],
        listed: &[Candidate<'_>],
        now: BootTime,
    ) -> Vec<LeaseChange> {
        if self.phase(now) != LeasePhase::Full || self.own_version == 0 {
            return Vec::new();
        }
        let live = self.live_candidates(now);
        let mut changes = self.predecessor_removals();
        let lowest_host = live.iter().map(|c| c.host).min();
        if lowest_host == Some(self.session.host()) {
            changes.extend(self.stale_session_changes(now));
        }
        let in_grace = self.first_read.is_none_or(|at| now.since(at) < CLAIM_GRACE);
        let claimants = if in_grace { listed } else { &live };
        let slice_changes = slices
            .iter()
            .filter_map(|slice| self.slice_change(*slice, claimants, &live, now))
            .map(LeaseChange::Slice);
        changes.extend(slice_changes);
        changes
    }

    /// Returns the row change that this daemon should make now for one slice.
    ///
    /// Slices without a row are assigned among `claimants`, slices of ended sessions among `live`.
    fn slice_change(
        &self,
        slice: SliceId,
        claimants: &[Candidate<'_>],
        live: &[Candidate<'_>],
        now: BootTime,
    ) -> Option<SliceChange> {
        match self.rows.get(&slice) {
            None => self.claim(slice, claimants),
            Some(read) if read.row.owner == self.session => self.reclaim(slice, read, now),
            Some(read) => self.take_over(slice, read, live),
        }
    }

    /// Returns the portions of a slice that this daemon may use at `now`.
    pub fn usable_portions(&self, slice: SliceId, now: BootTime) -> Vec<Portion> {
        self.owned.usable_portions(slice, self.phase(now)).to_vec()
    }

    /// Ends the session and returns the change of owner of each slice that has a successor, with
    /// the bucket levels to hand over.
    pub fn release_all(
        &mut self,
        successors: &[(Candidate<'_>, SessionId)],
        now: BootTime,
    ) -> Vec<(SliceChange, BucketLevels)> {
        let hosts: Vec<Candidate<'_>> = successors.iter().map(|(c, _)| *c).collect();
        let mut released = Vec::new();
        for (slice, read) in &self.rows {
            if read.row.owner != self.session || self.has_ended() {
                continue;
            }
            let Some(best) = preferred_host(*slice, &hosts) else {
                continue;
            };
            let session = successors.iter().find(|(c, _)| *c == best);
            let Some((_, session)) = session else {
                continue;
            };
            let change = SliceChange {
                slice: *slice,
                version: read.version,
                row: read.row.hand_over(session.clone()),
                session_check: None,
            };
            released.push((change, self.owned.remove(*slice, now)));
        }
        self.end_session();
        released
    }

    /// Returns the version of the session's own row as last read, 0 if it was absent.
    pub fn own_version(&self) -> u64 {
        self.own_version
    }

    /// Returns whether slices may still be unclaimed: shortly after the first read, or while slice
    /// rows are missing.
    pub fn is_claim_pending(&self, now: BootTime) -> bool {
        let is_new = self
            .first_read
            .is_some_and(|at| now.since(at) < CLAIM_GRACE);
        is_new || self.rows.len() < SliceId::all().count()
    }

    fn is_preferred(&self, slice: SliceId, candidates: &[Candidate<'_>]) -> bool {
        preferred_host(slice, candidates).is_some_and(|c| c.host == self.session.host())
    }

    fn claim(&self, slice: SliceId, candidates: &[Candidate<'_>]) -> Option<SliceChange> {
        if !self.is_preferred(slice, candidates) {
            return None;
        }
        Some(SliceChange {
            slice,
            version: 0,
            row: SliceRow::initial(self.session.clone()),
            session_check: None,
        })
    }

    fn take_over(
        &self,
        slice: SliceId,
        read: &Versioned<SliceRow>,
        live: &[Candidate<'_>],
    ) -> Option<SliceChange> {
        let former = &read.row.owner;
        let (row, version) = match self.watch.get(former) {
            None => (read.row.hand_over(self.session.clone()), 0),
            Some((row, version)) if row.fenced => {
                (read.row.take_over(self.session.clone()), version)
            }
            Some(_) => return None,
        };
        if !self.is_preferred(slice, live) {
            return None;
        }
        Some(SliceChange {
            slice,
            version: read.version,
            row,
            session_check: Some((former.clone(), version)),
        })
    }

    fn reclaim(
        &self,
        slice: SliceId,
        read: &Versioned<SliceRow>,
        now: BootTime,
    ) -> Option<SliceChange> {
        let is_expired = |former: &SessionId| self.watch.is_long_term_over(former, now);
        let residue = read.row.residues.iter().find(|r| is_expired(&r.session))?;
        let former = &residue.session;
        let version = self.watch.get(former).map_or(0, |(_, version)| version);
        Some(SliceChange {
            slice,
            version: read.version,
            row: read.row.reclaim(former),
            session_check: Some((former.clone(), version)),
        })
    }
}
