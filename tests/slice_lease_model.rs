//! Exhaustive exploration of the lease of one slice with two hosts and one store, through pauses,
//! restarts and lost responses.
//!
//! The exploration runs the state machine of the daemons.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    quota::{SliceLease, LEASE_TERM},
};
use pathfinding::prelude::bfs_reach;

/// Duration of one step.
const STEP: Duration = Duration::from_millis(2800);
/// Number of steps that are explored; they cover several terms.
const STEPS: u8 = 8;
/// Number of hosts that compete for the slice.
const HOSTS: usize = 2;

/// A write in transit to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Write {
    expected: u64,
    sent: BootTime,
    /// Version that it wrote, 0 if the version check failed; `None` before it reaches the store.
    result: Option<u64>,
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
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: BootTime,
    step: u8,
    /// Version of the row and the host that wrote it.
    row: (u64, Option<usize>),
    hosts: Vec<Host>,
}

fn start() -> State {
    let host = Host {
        lease: SliceLease::default(),
        write: None,
        acted: false,
    };
    State {
        now: BootTime::from_duration(Duration::from_secs(1000)),
        step: 0,
        row: (0, None),
        hosts: vec![host; HOSTS],
    }
}

impl State {
    fn read(&self, i: usize) -> Self {
        let mut next = self.clone();
        let (version, writer) = self.row;
        let own = writer == Some(i);
        next.hosts[i].lease.observe(version, own, self.now);
        next
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
            next.row = (version, Some(i));
        }
        next.hosts[i].write = Some(Write {
            result: Some(version),
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
        match (arrives, version) {
            (true, 0) => lease.mark_lost(),
            (true, _) => {
                let term_start = match variant {
                    Variant::TermFromResponse => self.now,
                    _ => write.sent,
                };
                lease.record_write(version, term_start);
            }
            (false, _) if self.row == (version, Some(i)) => lease.adopt_own_write(version),
            (false, _) => lease.observe(self.row.0, false, self.now),
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
        for i in 0..HOSTS {
            next_states.extend(self.deliver_write(i));
            next_states.extend(self.deliver_response(i, true, variant));
            next_states.extend(self.deliver_response(i, false, variant));
            if self.hosts[i].acted {
                continue;
            }
            let sent = self.hosts[i].write.is_none().then(|| self.send(i, variant));
            let actions = [Some(self.read(i)), sent.flatten(), Some(self.restart(i))];
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
fn explore(variant: Variant) -> (usize, bool) {
    let mut states = 0;
    for state in bfs_reach(start(), |s| s.successors(variant)) {
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
    let (states, violated) = explore(Variant::Unmodified);
    assert!(!violated);
    assert!(states > 1000, "{states} states");
    println!("{states} states");
}

#[test]
fn broken_variants_are_detected() {
    for variant in [Variant::TermFromResponse, Variant::ImmediateTakeover] {
        let (states, violated) = explore(variant);
        assert!(violated, "{variant:?}: {states} states without a violation");
    }
}
