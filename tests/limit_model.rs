//! Exhaustive exploration of leases on one slice.

#[path = "limit/lease_model/mod.rs"]
mod lease_model;

use std::time::Instant;

use lease_model::{Bounds, DaemonBounds, Fault, Model, State};
use pathfinding::directed::bfs::bfs_reach;

/// Most states of one exploration; wider bounds would take too long.
const MAX_STATES: usize = 2_000_000;

/// What an exploration found.
struct Found {
    states: usize,
    most_changes: (u64, usize),
    broken: Option<(&'static str, State)>,
}

fn explore(model: &Model) -> Found {
    let mut states = 0;
    let mut most_changes = (0, 0);
    for state in bfs_reach(model.start(), |s| model.successors(s)) {
        states += 1;
        assert!(states < MAX_STATES, "bounds too wide: {:?}", model.bounds);
        most_changes = most_changes.max(state.changes());
        if let Some(property) = model.broken(&state) {
            return Found {
                states,
                most_changes,
                broken: Some((property, state)),
            };
        }
    }
    Found {
        states,
        most_changes,
        broken: None,
    }
}

fn events(state: &State) -> Vec<&str> {
    let mut events = Vec::new();
    let mut trace = state.trace.as_ref();
    while let Some(t) = trace {
        events.push(t.event.as_str());
        trace = t.before.as_ref();
    }
    events.reverse();
    events
}

fn daemon(short: u32, long: u32, renewals: u8, reads: u8) -> DaemonBounds {
    DaemonBounds {
        short,
        long,
        renewals,
        reads,
    }
}

/// One daemon loses its lease, another takes over, and the long term ends.
fn takeover() -> Bounds {
    Bounds {
        ticks: 5,
        drains: 2,
        daemons: vec![daemon(1, 2, 0, 0), daemon(9, 9, 0, 5)],
        stale_reads: true,
        shutdown: false,
    }
}

/// The first daemon renews while the other takes over.
fn renewal() -> Bounds {
    Bounds {
        ticks: 2,
        drains: 2,
        daemons: vec![daemon(1, 3, 1, 0), daemon(9, 9, 0, 4)],
        stale_reads: true,
        shutdown: false,
    }
}

/// The first daemon renews, finds itself fenced, and begins a new session.
fn fenced() -> Bounds {
    Bounds {
        ticks: 3,
        drains: 2,
        daemons: vec![daemon(1, 2, 1, 1), daemon(9, 9, 0, 3)],
        stale_reads: true,
        shutdown: false,
    }
}

/// The taker fails as well, and a third daemon takes over from it.
fn chain() -> Bounds {
    Bounds {
        ticks: 4,
        drains: 2,
        daemons: vec![daemon(1, 9, 0, 0), daemon(3, 9, 0, 3), daemon(9, 9, 0, 3)],
        stale_reads: false,
        shutdown: false,
    }
}

/// The first daemon hands over at a shutdown that may come at any time.
fn shutdown() -> Bounds {
    Bounds {
        ticks: 3,
        drains: 2,
        daemons: vec![daemon(1, 2, 1, 0), daemon(9, 9, 0, 2)],
        stale_reads: true,
        shutdown: true,
    }
}

#[test]
fn properties_hold_in_every_state() {
    struct Case {
        name: &'static str,
        bounds: Bounds,
        /// Epoch and residues that some state must reach.
        most_changes: (u64, usize),
    }
    let cases = [
        Case {
            name: "takeover",
            bounds: takeover(),
            most_changes: (2, 1),
        },
        Case {
            name: "renewal",
            bounds: renewal(),
            most_changes: (2, 1),
        },
        Case {
            name: "fenced",
            bounds: fenced(),
            most_changes: (2, 1),
        },
        Case {
            name: "chain",
            bounds: chain(),
            most_changes: (3, 2),
        },
        Case {
            name: "shutdown",
            bounds: shutdown(),
            most_changes: (2, 1),
        },
    ];
    for case in cases {
        let begin = Instant::now();
        let found = explore(&Model::new(case.bounds, Fault::None));
        println!(
            "{}: {} states, most changes {:?}, {:?}",
            case.name,
            found.states,
            found.most_changes,
            begin.elapsed()
        );
        if let Some((property, state)) = found.broken {
            panic!("{}: {property}: {:#?}", case.name, events(&state));
        }
        assert_eq!(found.most_changes, case.most_changes, "{}", case.name);
    }
}

#[test]
fn each_fault_breaks_a_property() {
    struct Case {
        fault: Fault,
        bounds: Bounds,
    }
    let cases = [
        Case {
            fault: Fault::LeaseFromAnswer,
            bounds: renewal(),
        },
        Case {
            fault: Fault::TakerStartsFull,
            bounds: takeover(),
        },
        Case {
            fault: Fault::WatchFromEarlier,
            bounds: renewal(),
        },
        Case {
            fault: Fault::RenewalUnchecked,
            bounds: renewal(),
        },
        Case {
            fault: Fault::TakesAll,
            bounds: renewal(),
        },
        Case {
            fault: Fault::HandsOverFull,
            bounds: shutdown(),
        },
    ];
    for case in cases {
        let begin = Instant::now();
        let found = explore(&Model::new(case.bounds, case.fault));
        let Some((property, state)) = found.broken else {
            panic!("{:?}: not caught in {} states", case.fault, found.states);
        };
        println!(
            "{:?}: {property} after {} states, {:?}: {:?}",
            case.fault,
            found.states,
            begin.elapsed(),
            events(&state)
        );
    }
}
