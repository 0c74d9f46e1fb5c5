//! Exhaustive exploration of the lease of one slice with two hosts and one store, through pauses,
//! restarts, lost responses and rollbacks of the store.
//!
//! The exploration runs the state machine of the daemons.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    quota::{SliceLease, LEASE_TERM},
    store::{Era, StoreVersion},
};
use pathfinding::prelude::bfs_reach;

/// Duration of one step.
const STEP: Duration = Duration::from_millis(2800);
/// Number of steps that are explored; they cover several terms.
const STEPS: u8 = 8;
/// Number of hosts that compete for the slice.
const HOSTS: usize = 2;

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
    /// Whether it has read, written or restarted in this step; bounds the exploration.
    acted: bool,
}

/// The implementation, or a deliberately broken variant that the exploration must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    Unmodified,
    /// The holder counts its term from the response to its write.
    TermFromResponse,
    /// A host takes over a slice as soon as it has read the row.
    ImmediateTakeover,
    /// A host does not learn that the store came back from an older copy.
    ImmediateTakeoverInNewEra,
    /// A write of an earlier era takes a slice over in a new one.
    TakeoverAcrossEras,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: BootTime,
    step: u8,
    /// Version of the row and the host that wrote it.
    row: (u64, Option<usize>),
    /// The row before its last writes, newest last.
    copies: Vec<(u64, Option<usize>)>,
    era: u64,
    rollbacks_left: u8,
    hosts: Vec<Host>,
}

fn start(rollbacks: u8) -> State {
    let host = Host {
        lease: SliceLease::default(),
        write: None,
        acted: false,
    };
    State {
        now: BootTime::from_duration(Duration::from_secs(1000)),
        step: 0,
        row: (0, None),
        copies: Vec::new(),
        era: 0,
        rollbacks_left: rollbacks,
        hosts: vec![host; HOSTS],
    }
}

impl State {
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

    fn restart(&self, i: usize) -> Self {
        let mut next = self.clone();
        // A write of the previous process may still be committed; nobody waits for its response.
        next.hosts[i].lease = SliceLease::default();
        next.hosts[i].write = None;
        next
    }

    fn advance_time(&self) -> Option<Self> {
        let mut next = self.clone();
        next.now = self.now + STEP;
        next.step += 1;
        next.hosts.iter_mut().for_each(|h| h.acted = false);
        (next.step <= STEPS).then_some(next)
    }

    fn successors(&self, variant: Variant) -> Vec<Self> {
        let mut next_states: Vec<Self> = self.advance_time().into_iter().collect();
        next_states.extend((1..=MAX_LOST_WRITES).filter_map(|n| self.roll_back(n)));
        for i in 0..HOSTS {
            next_states.extend(self.deliver_write(i));
            next_states.extend(self.deliver_response(i, true, variant));
            next_states.extend(self.deliver_response(i, false, variant));
            if self.hosts[i].acted {
                continue;
            }
            let sent = self.hosts[i].write.is_none().then(|| self.send(i, variant));
            let actions = [
                Some(self.read(i, variant)),
                sent.flatten(),
                Some(self.restart(i)),
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

/// Returns the number of explored states and whether two hosts held the slice at once in one.
fn explore(variant: Variant, rollbacks: u8) -> (usize, bool) {
    let mut states = 0;
    for state in bfs_reach(start(rollbacks), |s| s.successors(variant)) {
        states += 1;
        if state.holder_count() > 1 {
            return (states, true);
        }
    }
    (states, false)
}

#[test]
fn slice_never_has_two_holders() {
    assert!(STEP * u32::from(STEPS) > LEASE_TERM * 2);
    let (states, violated) = explore(Variant::Unmodified, 0);
    assert!(!violated);
    assert!(states > 1000, "{states} states");
    println!("{states} states");
}

#[test]
fn broken_variants_are_detected() {
    for variant in [Variant::TermFromResponse, Variant::ImmediateTakeover] {
        let (states, violated) = explore(variant, 0);
        assert!(violated, "{variant:?}: {states} states without a violation");
    }
}

/// Guards against a lease that is taken over while its holder, whose row the store lost, still admits
/// requests.
#[test]
fn slice_never_has_two_holders_after_a_rollback() {
    let (states, violated) = explore(Variant::Unmodified, 1);
    assert!(!violated);
    println!("{states} states");
    for variant in [
        Variant::ImmediateTakeoverInNewEra,
        Variant::TakeoverAcrossEras,
    ] {
        let (states, violated) = explore(variant, 1);
        assert!(violated, "{variant:?}: {states} states without a violation");
    }
}
