//! A state of the search over spreading and serving, and what must never hold in one.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    membership::{
        serve_until, HeartbeatReport, Heartbeats, Incarnation, Member, Members, Phase,
        FRESHNESS_LIMIT,
    },
    revision::AckTracker,
};

pub(crate) const HOSTS: usize = 3;
/// Reads of the table besides those of commits.
const READS: u32 = 1;
/// Ticks in which a proof of holding the newest revision lapses.
pub(crate) const TICKS_PER_LIMIT: u32 = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Change {
    Lists,
    /// The host of this number removes all others from the members.
    RemoveOthers(usize),
    Settle(u64),
}

/// An answer under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Answer {
    pub(crate) to: usize,
    pub(crate) report: (Incarnation, u64, Vec<u16>),
    pub(crate) asked: BootTime,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Host {
    pub(crate) incarnation: Incarnation,
    pub(crate) revision: Option<u64>,
    pub(crate) heartbeats: Heartbeats,
    pub(crate) table_read: Option<BootTime>,
}

/// Confirmations that one host gathers for one revision.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Gathering {
    pub(crate) by: usize,
    pub(crate) revision: u64,
    pub(crate) acks: AckTracker,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) tick: u32,
    pub(crate) log: Vec<Change>,
    pub(crate) hosts: Vec<Host>,
    /// An answer that is late; all others arrive at once.
    pub(crate) late: Option<Answer>,
    pub(crate) asks_left: u32,
    pub(crate) reads_left: u32,
    pub(crate) gathering: Option<Gathering>,
    /// Newest accepted revision, and when it was accepted.
    pub(crate) accepted: Option<(u64, u32)>,
    pub(crate) lists_left: u32,
    pub(crate) members_left: u32,
    pub(crate) restarts_left: u32,
    pub(crate) fallen: bool,
}

pub(crate) fn time_of(tick: u32) -> BootTime {
    BootTime::from_duration(Duration::from_secs(1000) + FRESHNESS_LIMIT * tick / TICKS_PER_LIMIT)
}

pub(crate) fn incarnation(host: usize, run: u8) -> Incarnation {
    Incarnation([host as u8, run, 0, 0, 0, 0, 0, 0])
}

pub(crate) fn member(host: usize) -> Member {
    Member {
        incarnation: incarnation(host, 0),
        host: name(host),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

pub(crate) fn name(host: usize) -> String {
    format!("entry-{host}")
}

impl State {
    pub(crate) fn new([lists, members, restarts, asks]: [u32; 4]) -> Self {
        let host = |i| Host {
            incarnation: incarnation(i, 0),
            revision: Some(0),
            heartbeats: Heartbeats::default(),
            table_read: None,
        };
        Self {
            tick: 0,
            log: Vec::new(),
            hosts: (0..HOSTS).map(host).collect(),
            late: None,
            asks_left: asks,
            reads_left: READS,
            gathering: None,
            accepted: None,
            lists_left: lists,
            members_left: members,
            restarts_left: restarts,
            fallen: false,
        }
    }

    pub(crate) fn now(&self) -> BootTime {
        time_of(self.tick)
    }

    pub(crate) fn head(&self) -> u64 {
        self.log.len() as u64
    }

    pub(crate) fn members_at(&self, revision: u64) -> Members {
        let mut members = Members::default();
        for i in 0..HOSTS {
            members.restore(&member(i), Phase::Settled, 0);
        }
        for (at, change) in self.log.iter().take(revision as usize).enumerate() {
            match change {
                Change::Lists => {}
                Change::RemoveOthers(keep) => (0..HOSTS)
                    .filter(|i| i != keep)
                    .for_each(|i| members.remove(incarnation(i, 0), at as u64 + 1)),
                Change::Settle(began) => members.settle(*began),
            }
        }
        members
    }

    pub(crate) fn serves(&self, h: usize) -> bool {
        let host = &self.hosts[h];
        let Some(revision) = host.revision else {
            return false;
        };
        let members = self.members_at(revision);
        let heard = host
            .heartbeats
            .quorum_last_heard(host.incarnation, &members, self.now());
        self.now() < serve_until(host.table_read, heard)
    }

    /// Drops what can no longer count, so that states that behave alike are equal.
    pub(crate) fn forget_lapsed(&mut self) {
        let now = self.now();
        let is_fresh = |at: &BootTime| now < *at + FRESHNESS_LIMIT;
        self.late = self.late.take().filter(|a| is_fresh(&a.asked));
        for h in 0..HOSTS {
            let members = self.members_at(self.hosts[h].revision.unwrap_or(0));
            let host = &mut self.hosts[h];
            host.table_read = host.table_read.filter(is_fresh);
            let old = std::mem::take(&mut host.heartbeats);
            for (m, _) in members.iter() {
                if let Some(at) = old.last_heard(m.incarnation).filter(is_fresh) {
                    let report = HeartbeatReport {
                        incarnation: m.incarnation,
                        revision: 0,
                        ages: Vec::new(),
                    };
                    host.heartbeats.record(&report, at, 0, &members);
                }
            }
        }
    }

    /// Tells whether a host serves without an edit that was accepted longer ago than the limit, or
    /// fell to a lower revision.
    pub(crate) fn is_violation(&self) -> bool {
        let Some((accepted, at)) = self.accepted else {
            return self.fallen;
        };
        let late = self.tick >= at + TICKS_PER_LIMIT;
        let behind = |h: usize| self.hosts[h].revision < Some(accepted) && self.serves(h);
        self.fallen || (late && (0..HOSTS).any(behind))
    }
}
