//! The set of members, which changes in two steps as in joint consensus.

use super::{Incarnation, Member, Phase};

/// The members as of one revision.
///
/// While a change is pending there is an old and a new set, and every decision needs a majority of
/// each. The next change must wait until this one is settled, so that the quorums of any two
/// decisions share a member.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Members {
    /// Sorted by incarnation.
    list: Vec<(Member, Phase)>,
    changed_at: Option<u64>,
}

impl Members {
    /// Returns the members and their phases, sorted by incarnation.
    pub fn iter(&self) -> impl Iterator<Item = &(Member, Phase)> {
        self.list.iter()
    }

    /// Returns the number of members in the old and the new set together.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Returns whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the member with this identity and its phase.
    pub fn find(&self, incarnation: Incarnation) -> Option<&(Member, Phase)> {
        let at = self.position(incarnation)?;
        self.list.get(at)
    }

    /// Returns the index of a member in the order of [`Members::iter`].
    pub fn position(&self, incarnation: Incarnation) -> Option<usize> {
        self.list
            .binary_search_by_key(&incarnation, |(m, _)| m.incarnation)
            .ok()
    }

    /// Returns the revision of the edit that began the pending change, if any.
    pub fn pending_change(&self) -> Option<u64> {
        self.changed_at
    }

    /// Starts adding a member with the edit of `revision`.
    pub fn add(&mut self, member: &Member, revision: u64) {
        self.put(member, Phase::Joining);
        self.changed_at = Some(revision);
    }

    /// Starts removing a member with the edit of `revision`.
    pub fn remove(&mut self, incarnation: Incarnation, revision: u64) {
        if let Some(at) = self.position(incarnation) {
            self.list[at].1 = Phase::Leaving;
            self.changed_at = Some(revision);
        }
    }

    /// Settles the change that began with the edit of `began`; any other stays pending.
    pub fn settle(&mut self, began: u64) {
        if self.changed_at != Some(began) {
            return;
        }
        self.list.retain(|(_, phase)| *phase != Phase::Leaving);
        for (_, phase) in &mut self.list {
            *phase = Phase::Settled;
        }
        self.changed_at = None;
    }

    /// Restores a member from a snapshot, whose change began with the edit of `changed_at`.
    pub fn restore(&mut self, member: &Member, phase: Phase, changed_at: u64) {
        self.put(member, phase);
        if phase != Phase::Settled {
            self.changed_at = Some(changed_at);
        }
    }

    /// Returns whether the members for which `counts` is true are a majority of the old set and a
    /// majority of the new one; an empty set needs no majority.
    pub fn is_quorum(&self, counts: impl Fn(&Member) -> bool) -> bool {
        let has_majority = |excluded: Phase| {
            let set = self.list.iter().filter(|(_, phase)| *phase != excluded);
            let (all, found) = set.fold((0, 0), |(all, found), (m, _)| {
                (all + 1, found + usize::from(counts(m)))
            });
            all == 0 || found * 2 > all
        };
        has_majority(Phase::Joining) && has_majority(Phase::Leaving)
    }

    fn put(&mut self, member: &Member, phase: Phase) {
        let entry = (member.clone(), phase);
        match self
            .list
            .binary_search_by_key(&member.incarnation, |(m, _)| m.incarnation)
        {
            Ok(at) => self.list[at] = entry,
            Err(at) => self.list.insert(at, entry),
        }
    }
}
