//! Counting of confirmations of one revision.

use std::collections::BTreeSet;

use crate::membership::{Incarnation, Member, Members};

/// One daemon's confirmation that it holds a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ack<'a> {
    /// Identity of its run.
    pub incarnation: Incarnation,
    /// Name of its host.
    pub host: &'a str,
}

/// Counts who holds a revision, and who is gone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct AckTracker {
    holds: BTreeSet<Incarnation>,
    /// Runs that hold the revision, by host, whose earlier runs have therefore ended.
    restarted: BTreeSet<(String, Incarnation)>,
}

impl AckTracker {
    /// Counts a daemon that holds the revision.
    pub fn record(&mut self, ack: &Ack<'_>) {
        self.holds.insert(ack.incarnation);
        self.restarted
            .insert((ack.host.to_owned(), ack.incarnation));
    }

    /// Tells whether the member holds the revision.
    pub fn holds(&self, member: &Member) -> bool {
        self.holds.contains(&member.incarnation)
    }

    /// Tells whether the revision is accepted: a quorum of the members holds it or is gone.
    ///
    /// A member is gone when `dropped` says so, or when another run of its host answered.
    pub fn is_accepted(&self, members: &Members, dropped: impl Fn(&str) -> bool) -> bool {
        members.is_quorum(|m| self.holds(m) || self.is_gone(m, &dropped))
    }

    /// Returns the members that neither hold the revision nor are gone.
    pub fn missing<'a>(
        &'a self,
        members: &'a Members,
        dropped: impl Fn(&str) -> bool + 'a,
    ) -> impl Iterator<Item = &'a Member> + 'a {
        members
            .iter()
            .map(|(m, _)| m)
            .filter(move |m| !self.holds(m) && !self.is_gone(m, &dropped))
    }

    fn is_gone(&self, member: &Member, dropped: &impl Fn(&str) -> bool) -> bool {
        let of_host =
            |(host, i): &&(String, Incarnation)| *host == member.host && *i != member.incarnation;
        dropped(&member.host) || self.restarted.iter().any(|r| of_host(&r))
    }
}
