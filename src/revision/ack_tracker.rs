//! Tracking of the acknowledgements of one revision.

use std::collections::BTreeSet;

use crate::membership::{Incarnation, Member, Members};

/// A daemon's acknowledgement that it holds a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ack<'a> {
    /// Identity of the daemon's run.
    pub incarnation: Incarnation,
    /// Name of its host.
    pub host: &'a str,
}

/// Tracks which members hold a revision and which are gone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct AckTracker {
    holds: BTreeSet<Incarnation>,
    /// Hosts and runs that hold the revision; any earlier run on such a host has ended.
    runs: BTreeSet<(String, Incarnation)>,
}

impl AckTracker {
    /// Records a daemon's acknowledgement.
    pub fn record(&mut self, ack: &Ack<'_>) {
        self.holds.insert(ack.incarnation);
        self.runs.insert((ack.host.to_owned(), ack.incarnation));
    }

    /// Returns whether the member holds the revision.
    pub fn holds(&self, member: &Member) -> bool {
        self.holds.contains(&member.incarnation)
    }

    /// Returns whether the revision is accepted, that is, a quorum of the members holds it or is
    /// gone.
    ///
    /// A member is gone if `is_unlisted` is true for its host, or if another run on its host has
    /// acknowledged the revision.
    pub fn is_accepted(&self, members: &Members, is_unlisted: impl Fn(&str) -> bool) -> bool {
        members.is_quorum(|m| self.holds(m) || self.is_gone(m, &is_unlisted))
    }

    /// Returns the members that neither hold the revision nor are gone.
    pub fn missing<'a>(
        &'a self,
        members: &'a Members,
        is_unlisted: impl Fn(&str) -> bool + 'a,
    ) -> impl Iterator<Item = &'a Member> + 'a {
        members
            .iter()
            .map(|(m, _)| m)
            .filter(move |m| !self.holds(m) && !self.is_gone(m, &is_unlisted))
    }

    fn is_gone(&self, member: &Member, is_unlisted: &impl Fn(&str) -> bool) -> bool {
        let is_other_run =
            |(host, i): &&(String, Incarnation)| *host == member.host && *i != member.incarnation;
        is_unlisted(&member.host) || self.runs.iter().any(|r| is_other_run(&r))
    }
}
