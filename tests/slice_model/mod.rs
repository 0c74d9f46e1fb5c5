//! The lease of one slice with several hosts and one store, as a model for exploration.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    quota::SliceLease,
    store::{Era, StoreVersion},
};
use pathfinding::prelude::bfs_reach;

/// Duration of one step.
pub(crate) const STEP: Duration = Duration::from_millis(2800);
/// Number of steps that are explored; they cover several terms.
pub(crate) const STEPS: u8 = 8;
/// Number of hosts that compete for the slice.
pub(crate) const HOSTS: usize = 2;
/// Number of hosts and steps in the exploration of handovers to two successors, which covers one
/// term.
pub(crate) const HANDOVER_HOSTS: usize = 3;
const HANDOVER_STEPS: u8 = 3;

/// Largest number of writes that a rollback loses.
const MAX_LOST_WRITES: usize = 2;

/// A write in transit to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Write {
    expected: u64,
    sent: BootTime,
    sent_in: Era,
    /// Version that it wrote, 0 if the version check failed; `None` before it reaches the store.
    result: Option<StoreVersion>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    lease: SliceLease,
    write: Option<Write>,
    /// Version that a holder has released to this host; delivered at any time, any number of times.
    offer: Option<StoreVersion>,
    /// Whether it has read, written or restarted in this step; bounds the exploration.
    acted: bool,
}

/// The implementation, or a deliberately broken variant that the exploration must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Variant {
    Unmodified,
    /// The holder counts its term from the response to its write.
    TermFromResponse,
    /// A host takes over a slice as soon as it has read the row.
    ImmediateTakeover,
    /// A holder that leaves goes on granting tokens after it has offered the slice.
    OfferWithoutRelease,
    /// A successor counts as the holder before its write is committed.
    HolderOnOffer,
    /// A successor writes the row whatever its version is.
    UnconditionalTakeover,
    /// A host does not learn that the store came back from an older copy.
    ImmediateTakeoverInNewEra,
    /// A write of an earlier era takes a slice over in a new one.
    TakeoverAcrossEras,
    /// A successor takes a release of another era for one of the era that it knows.
    ReleaseAcrossEras,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) now: BootTime,
    step: u8,
    /// Version of the row and the host that wrote it.
    row: (u64, Option<usize>),
    /// The row before its last writes, newest last.
    copies: Vec<(u64, Option<usize>)>,
    era: u64,
    rollbacks_left: u8,
    hosts: Vec<Host>,
}

pub(crate) fn start(hosts: usize, rollbacks: u8) -> State {
    let host = Host {
        lease: SliceLease::default(),
        write: None,
        offer: None,
        acted: false,
    };
    State {
        now: BootTime::from_duration(Duration::from_secs(1000)),
        step: 0,
        row: (0, None),
        copies: Vec::new(),
        era: 0,
        rollbacks_left: rollbacks,
        hosts: vec![host; hosts],
    }
}

impl State {
    /// Returns the state in which the first host has acquired the lease in the first era, and the others
    /// have read its row.
    fn held_by_first_host(mut self) -> Self {
        let (era, now) = (self.stated_era(), self.now);
        self.copies.push(self.row);
        self.row = (1, Some(0));
        for (i, host) in self.hosts.iter_mut().enumerate() {
            host.lease.see_era(era, now);
            if i == 0 {
                host.lease.record_write(1, now);
            } else {
                host.lease.observe(1, false, now);
            }
        }
        self
    }

    fn read(&self, i: usize, variant: Variant) -> Self {
        let mut next = self.clone();
        let (version, writer) = self.row;
        let own = writer == Some(i);
        self.show_era(&mut next.hosts[i].lease, variant);
        next.hosts[i].lease.observe(version, own, self.now);
        next
    }

    /// Returns the era as stated by the store; one without rollbacks states none.
    fn stated_era(&self) -> Era {
        if self.rollbacks_left == 0 && self.era == 0 {
            Era::UNSTATED
        } else {
            Era::stated(self.era)
        }
    }

    fn show_era(&self, lease: &mut SliceLease, variant: Variant) -> bool {
        variant != Variant::ImmediateTakeoverInNewEra && lease.see_era(self.stated_era(), self.now)
    }

    /// Loses the newest writes, at least one.
    fn roll_back(&self, writes: usize) -> Option<Self> {
        let kept = self.copies.len().checked_sub(writes)?;
        let mut next = self.clone();
        next.rollbacks_left = self.rollbacks_left.checked_sub(1)?;
        next.era += 1;
        next.row = self.copies[kept];
        next.copies.truncate(kept);
        Some(next)
    }

    fn send(&self, i: usize, variant: Variant) -> Option<Self> {
        let host = &self.hosts[i];
        let expected = match variant {
            Variant::ImmediateTakeover => Some(self.row.0),
            Variant::UnconditionalTakeover if host.offer.is_some() => Some(self.row.0),
            _ => host.lease.acquirable_version(self.now),
        };
        let mut next = self.clone();
        next.hosts[i].write = Some(Write {
            expected: expected?,
            sent: self.now,
            sent_in: host.lease.era(),
            result: None,
        });
        Some(next)
    }

    /// Delivers the write to the store.
    fn deliver_write(&self, i: usize) -> Option<Self> {
        let write = self.hosts[i].write.filter(|w| w.result.is_none())?;
        let mut next = self.clone();
        let mut version = 0;
        if write.expected == self.row.0 {
            version = self.row.0 + 1;
            next.copies.push(self.row);
            next.row = (version, Some(i));
        }
        next.hosts[i].write = Some(Write {
            result: Some(StoreVersion::new(self.stated_era(), version)),
            ..write
        });
        Some(next)
    }

    /// Delivers the response to the write, or loses it so that the row is read back.
    fn deliver_response(&self, i: usize, arrives: bool, variant: Variant) -> Option<Self> {
        let write = self.hosts[i].write?;
        let version = write.result?;
        let mut next = self.clone();
        next.hosts[i].write = None;
        let lease = &mut next.hosts[i].lease;
        let knows_era = variant != Variant::ImmediateTakeoverInNewEra;
        // A late response of an earlier era is a failed call.
        let arrives = arrives && !(knows_era && version.era < lease.era());
        match (arrives, version.number) {
            (true, 0) if knows_era && lease.see_era(version.era, self.now) => {}
            (true, 0) => lease.mark_lost(),
            (true, _) if knows_era && variant != Variant::TakeoverAcrossEras => {
                let term_start = match variant {
                    Variant::TermFromResponse => self.now,
                    _ => write.sent,
                };
                lease.record_commit(version, term_start, write.sent_in, self.now);
            }
            (true, number) => {
                let term_start = match variant {
                    Variant::TermFromResponse => self.now,
                    _ => write.sent,
                };
                if knows_era {
                    lease.see_era(version.era, self.now);
                }
                lease.record_write(number, term_start);
            }
            (false, number) => {
                let is_new_era = self.show_era(lease, variant);
                if !is_new_era && self.row == (number, Some(i)) {
                    lease.adopt_own_write(number, self.now);
                } else {
                    let own = is_new_era && self.row.1 == Some(i);
                    lease.observe(self.row.0, own, self.now);
                }
            }
        }
        Some(next)
    }

    /// Makes a holder leave and offer the slice to all other hosts.
    fn release(&self, i: usize, variant: Variant) -> Option<Self> {
        let mut next = self.clone();
        let lease = &mut next.hosts[i].lease;
        let version = match variant {
            Variant::OfferWithoutRelease if lease.is_held(self.now) => lease.observed_version(),
            Variant::OfferWithoutRelease => None,
            _ => lease.release(self.now),
        };
        let version = version?;
        for (j, host) in next.hosts.iter_mut().enumerate() {
            if j != i {
                host.offer = Some(version);
            }
        }
        Some(next)
    }

    /// Delivers an offer.
    fn deliver_offer(&self, i: usize, variant: Variant) -> Option<Self> {
        let mut version = self.hosts[i].offer?;
        let mut next = self.clone();
        let lease = &mut next.hosts[i].lease;
        if variant == Variant::ReleaseAcrossEras {
            version.era = lease.era();
        }
        let accepted = lease.accept_release(version, self.now);
        if accepted && variant == Variant::HolderOnOffer {
            lease.record_write(version.number, self.now);
        }
        accepted.then_some(next)
    }

    fn restart(&self, i: usize) -> Self {
        let mut next = self.clone();
        // A write of the previous process may still be committed; nobody waits for its response.
        next.hosts[i].lease = SliceLease::default();
        next.hosts[i].write = None;
        next
    }

    fn advance_time(&self, steps: u8) -> Option<Self> {
        let mut next = self.clone();
        next.now = self.now + STEP;
        next.step += 1;
        next.hosts.iter_mut().for_each(|h| h.acted = false);
        (next.step <= steps).then_some(next)
    }

    fn successors(&self, scope: Scope) -> Vec<Self> {
        let variant = scope.variant;
        let mut next_states: Vec<Self> = self.advance_time(scope.steps).into_iter().collect();
        next_states.extend((1..=MAX_LOST_WRITES).filter_map(|n| self.roll_back(n)));
        for i in 0..self.hosts.len() {
            next_states.extend(self.deliver_write(i));
            next_states.extend(self.deliver_response(i, true, variant));
            next_states.extend(self.deliver_response(i, false, variant));
            next_states.extend(self.deliver_offer(i, variant));
            if self.hosts[i].acted {
                continue;
            }
            let sent = self.hosts[i].write.is_none().then(|| self.send(i, variant));
            let released = scope.hands_over.then(|| self.release(i, variant));
            let actions = [
                Some(self.read(i, variant)),
                sent.flatten(),
                Some(self.restart(i)),
                released.flatten(),
            ];
            next_states.extend(actions.into_iter().flatten().map(|mut next| {
                next.hosts[i].acted = true;
                next
            }));
        }
        next_states
    }

    fn holder_count(&self) -> usize {
        let held = self.hosts.iter().filter(|h| h.lease.is_held(self.now));
        held.count()
    }
}

/// What an exploration covers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scope {
    pub(crate) variant: Variant,
    pub(crate) hosts: usize,
    pub(crate) steps: u8,
    pub(crate) hands_over: bool,
    pub(crate) rollbacks: u8,
    /// Whether the first host holds the lease at the start; otherwise the term after the first sight of
    /// a stated era, in which no host acquires it, is explored as well.
    pub(crate) starts_held: bool,
}

impl Scope {
    pub(crate) fn without_handover(variant: Variant) -> Self {
        Self {
            variant,
            hosts: HOSTS,
            steps: STEPS,
            hands_over: false,
            rollbacks: 0,
            starts_held: false,
        }
    }

    pub(crate) fn with_handover(variant: Variant) -> Self {
        Self {
            variant,
            hosts: HANDOVER_HOSTS,
            steps: HANDOVER_STEPS,
            hands_over: true,
            rollbacks: 0,
            starts_held: false,
        }
    }

    pub(crate) fn with_rollback(variant: Variant) -> Self {
        Self {
            rollbacks: 1,
            ..Self::without_handover(variant)
        }
    }

    pub(crate) fn with_handover_and_rollback(variant: Variant) -> Self {
        Self {
            hosts: HOSTS,
            steps: 4,
            rollbacks: 1,
            starts_held: true,
            ..Self::with_handover(variant)
        }
    }
}

/// Returns the number of explored states and whether two hosts held the slice at once in one.
pub(crate) fn explore(scope: Scope) -> (usize, bool) {
    let mut states = 0;
    let mut first = start(scope.hosts, scope.rollbacks);
    if scope.starts_held {
        first = first.held_by_first_host();
    }
    for state in bfs_reach(first, |s| s.successors(scope)) {
        states += 1;
        if state.holder_count() > 1 {
            return (states, true);
        }
    }
    (states, false)
}
