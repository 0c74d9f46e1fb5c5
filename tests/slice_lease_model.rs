//! Exhaustive exploration of the lease of one slice with two or three hosts and one store, through
//! pauses, restarts, lost responses, and handovers whose messages are late, lost or repeated.
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
/// Number of hosts and steps in the exploration of handovers to two successors, which covers one
/// term.
const HANDOVER_HOSTS: usize = 3;
const HANDOVER_STEPS: u8 = 3;

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
    /// Version that a holder has released to this host; delivered at any time, any number of times.
    offer: Option<u64>,
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
    /// A holder that leaves goes on granting tokens after it has offered the slice.
    OfferWithoutRelease,
    /// A successor counts as the holder before its write is committed.
    HolderOnOffer,
    /// A successor writes the row whatever its version is.
    UnconditionalTakeover,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: BootTime,
    step: u8,
    /// Version of the row and the host that wrote it.
    row: (u64, Option<usize>),
    hosts: Vec<Host>,
}

fn start(hosts: usize) -> State {
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
        hosts: vec![host; hosts],
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
            Variant::UnconditionalTakeover if host.offer.is_some() => Some(self.row.0),
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
        let version = self.hosts[i].offer?;
        let mut next = self.clone();
        let lease = &mut next.hosts[i].lease;
        let accepted = lease.accept_release(version, self.now);
        if accepted && variant == Variant::HolderOnOffer {
            lease.record_write(version, self.now);
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
                Some(self.read(i)),
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
struct Scope {
    variant: Variant,
    hosts: usize,
    steps: u8,
    hands_over: bool,
}

impl Scope {
    fn without_handover(variant: Variant) -> Self {
        Self {
            variant,
            hosts: HOSTS,
            steps: STEPS,
            hands_over: false,
        }
    }

    fn with_handover(variant: Variant) -> Self {
        Self {
            variant,
            hosts: HANDOVER_HOSTS,
            steps: HANDOVER_STEPS,
            hands_over: true,
        }
    }
}

/// Returns the number of explored states and whether two hosts held the slice at once in one.
fn explore(scope: Scope) -> (usize, bool) {
    let mut states = 0;
    for state in bfs_reach(start(scope.hosts), |s| s.successors(scope)) {
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
    let (states, violated) = explore(Scope::without_handover(Variant::Unmodified));
    assert!(!violated);
    assert!(states > 1000, "{states} states");
    println!("{states} states");
}

/// Guards against a slice that is counted twice when a holder hands it over to two successors, one
/// of which seems not to respond, when an offer is late, and when the holder's host restarts.
#[test]
fn slice_never_has_two_holders_at_a_handover() {
    let two_hosts = Scope {
        hosts: HOSTS,
        steps: 6,
        ..Scope::with_handover(Variant::Unmodified)
    };
    for scope in [two_hosts, Scope::with_handover(Variant::Unmodified)] {
        let (states, violated) = explore(scope);
        assert!(!violated, "{scope:?}");
        assert!(states > 1000, "{states} states");
        println!("{} hosts: {states} states", scope.hosts);
    }
}

#[test]
fn broken_variants_are_detected() {
    let scopes = [
        Scope::without_handover(Variant::TermFromResponse),
        Scope::without_handover(Variant::ImmediateTakeover),
        Scope::with_handover(Variant::OfferWithoutRelease),
        Scope::with_handover(Variant::HolderOnOffer),
        Scope::with_handover(Variant::UnconditionalTakeover),
    ];
    for scope in scopes {
        let (states, violated) = explore(scope);
        assert!(violated, "{scope:?}: {states} states without a violation");
    }
}

/// Guards against a successor that waits for the term of a lease that was released to it, and
/// against a holder that acquires the lease again after it has released it.
#[test]
fn successor_acquires_a_released_lease_at_once() {
    let now = start(1).now;
    let mut holder = SliceLease::default();
    assert_eq!(holder.release(now), None, "released without being held");
    holder.observe(0, false, now);
    holder.record_write(7, now);
    assert_eq!(holder.release(now + STEP), Some(7));
    assert!(!holder.is_held(now + STEP));
    // A response to a renewal that arrives after the release.
    holder.record_write(8, now + STEP);
    holder.observe(8, true, now + STEP);
    assert!(!holder.is_holder());
    assert_eq!(holder.acquirable_version(now + LEASE_TERM * 2), None);

    let mut successor = SliceLease::default();
    successor.observe(7, false, now);
    assert_eq!(successor.acquirable_version(now + STEP), None);
    assert!(successor.accept_release(7, now + STEP));
    assert!(!successor.is_held(now + STEP));
    assert_eq!(successor.acquirable_version(now + STEP), Some(7));
    successor.record_write(8, now + STEP);
    assert!(successor.is_held(now + STEP));
    assert!(!successor.accept_release(7, now + STEP), "a repeated offer");

    let mut informed = SliceLease::default();
    informed.observe(9, false, now);
    assert!(!informed.accept_release(7, now), "an outdated offer");
}
