//! Search over the lease of one slice: two hosts, one store, pauses, restarts and lost answers.
//!
//! The search runs the state machine that daemons run.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    quota::{SliceLease, LEASE_TERM},
};
use pathfinding::prelude::bfs_reach;

/// Time of one step.
const STEP: Duration = Duration::from_millis(2800);
/// Steps that are searched: several terms.
const STEPS: u8 = 8;
/// Hosts that want the slice.
const HOSTS: usize = 2;

/// A write on its way to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Write {
    expected: u64,
    sent: BootTime,
    /// Version that it wrote, 0 when it found another row; none before it reached the store.
    done: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    lease: SliceLease,
    write: Option<Write>,
    /// Whether it read, wrote or restarted in this step already, which bounds the search.
    acted: bool,
}

/// How the search may be broken, to show that it finds what it is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    AsBuilt,
    /// The holder counts its term from the answer of its write.
    CountsFromAnswer,
    /// A host takes a slice over as soon as it read the row.
    TakesAtOnce,
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
            Variant::TakesAtOnce => Some(self.row.0),
            _ => host.lease.acquirable_version(self.now),
        };
        let mut next = self.clone();
        next.hosts[i].write = Some(Write {
            expected: expected?,
            sent: self.now,
            done: None,
        });
        Some(next)
    }

    /// The write reaches the store now.
    fn arrive(&self, i: usize) -> Option<Self> {
        let write = self.hosts[i].write.filter(|w| w.done.is_none())?;
        let mut next = self.clone();
        let mut done = 0;
        if write.expected == self.row.0 {
            done = self.row.0 + 1;
            next.row = (done, Some(i));
        }
        next.hosts[i].write = Some(Write {
            done: Some(done),
            ..write
        });
        Some(next)
    }

    /// The answer of the write arrives, or is lost and the row is read back.
    fn answer(&self, i: usize, arrives: bool, variant: Variant) -> Option<Self> {
        let write = self.hosts[i].write?;
        let version = write.done?;
        let mut next = self.clone();
        next.hosts[i].write = None;
        let lease = &mut next.hosts[i].lease;
        match (arrives, version) {
            (true, 0) => lease.mark_lost(),
            (true, _) => {
                let counted = match variant {
                    Variant::CountsFromAnswer => self.now,
                    _ => write.sent,
                };
                lease.record_write(version, counted);
            }
            (false, _) if self.row == (version, Some(i)) => lease.adopt_own_write(version),
            (false, _) => lease.observe(self.row.0, false, self.now),
        }
        Some(next)
    }

    fn restart(&self, i: usize) -> Self {
        let mut next = self.clone();
        // A write of the process before may still take effect; nobody waits for its answer.
        next.hosts[i].lease = SliceLease::default();
        next.hosts[i].write = None;
        next
    }

    fn wait(&self) -> Option<Self> {
        let mut next = self.clone();
        next.now = self.now + STEP;
        next.step += 1;
        next.hosts.iter_mut().for_each(|h| h.acted = false);
        (next.step <= STEPS).then_some(next)
    }

    fn successors(&self, variant: Variant) -> Vec<Self> {
        let mut all: Vec<Self> = self.wait().into_iter().collect();
        for i in 0..HOSTS {
            all.extend(self.arrive(i));
            all.extend(self.answer(i, true, variant));
            all.extend(self.answer(i, false, variant));
            if self.hosts[i].acted {
                continue;
            }
            let sent = self.hosts[i].write.is_none().then(|| self.send(i, variant));
            let actions = [Some(self.read(i)), sent.flatten(), Some(self.restart(i))];
            all.extend(actions.into_iter().flatten().map(|mut next| {
                next.hosts[i].acted = true;
                next
            }));
        }
        all
    }

    fn holders(&self) -> usize {
        let held = self.hosts.iter().filter(|h| h.lease.is_held(self.now));
        held.count()
    }
}

/// Returns the count of states and whether two hosts held the slice at once in one of them.
fn search(variant: Variant) -> (usize, bool) {
    let mut states = 0;
    for state in bfs_reach(start(), |s| s.successors(variant)) {
        states += 1;
        if state.holders() > 1 {
            return (states, true);
        }
    }
    (states, false)
}

#[test]
fn slice_is_never_held_twice() {
    assert!(STEP * u32::from(STEPS) > LEASE_TERM * 2);
    let (states, violated) = search(Variant::AsBuilt);
    assert!(!violated);
    assert!(states > 1000, "{states} states");
    println!("{states} states");
}

#[test]
fn broken_variants_are_caught() {
    for variant in [Variant::CountsFromAnswer, Variant::TakesAtOnce] {
        let (states, violated) = search(variant);
        assert!(violated, "{variant:?}: {states} states without a violation");
    }
}
