//! Exhaustive exploration of the leases on one slice.

#[path = "limit/lease_model/mod.rs"]
mod lease_model;

use std::time::Instant;

use lease_model::{Bounds, DaemonBounds, Fault, Model, State};
use pathfinding::directed::bfs::bfs_reach;

/// Maximum number of states of one exploration; wider bounds would take too long.
const MAX_STATES: usize = 2_000_000;

/// The result of an exploration.
struct Exploration {
    states: usize,
    max_changes: (u64, usize),
    violation: Option<(&'static str, State)>,
}

fn explore(model: &Model) -> Exploration {
    let mut states = 0;
    let mut max_changes = (0, 0);
    for state in bfs_reach(model.start(), |s| model.successors(s)) {
        states += 1;
        assert!(states < MAX_STATES, "bounds too wide: {:?}", model.bounds);
        max_changes = max_changes.max(state.changes());
        if let Some(property) = model.violated_property(&state) {
            return Exploration {
                states,
                max_changes,
                violation: Some((property, state)),
            };
        }
    }
    Exploration {
        states,
        max_changes,
        violation: None,
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

/// The first daemon renews, finds its session fenced, and begins a new one.
fn fenced() -> Bounds {
    Bounds {
        ticks: 3,
        drains: 2,
        daemons: vec![daemon(1, 2, 1, 1), daemon(9, 9, 0, 3)],
        stale_reads: true,
        shutdown: false,
    }
}

/// The successor fails as well, and a third daemon takes over from it.
fn chain() -> Bounds {
    Bounds {
        ticks: 4,
        drains: 2,
        daemons: vec![daemon(1, 9, 0, 0), daemon(3, 9, 0, 3), daemon(9, 9, 0, 3)],
        stale_reads: false,
        shutdown: false,
    }
}

/// The first daemon hands over at a shutdown, which may happen at any time.
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
        /// Highest epoch and number of residues that the exploration must reach.
        max_changes: (u64, usize),
    }
    let cases = [
        Case {
            name: "takeover",
            bounds: takeover(),
            max_changes: (2, 1),
        },
        Case {
            name: "renewal",
            bounds: renewal(),
            max_changes: (2, 1),
        },
        Case {
            name: "fenced",
            bounds: fenced(),
            max_changes: (2, 1),
        },
        Case {
            name: "chain",
            bounds: chain(),
            max_changes: (3, 2),
        },
        Case {
            name: "shutdown",
            bounds: shutdown(),
            max_changes: (2, 1),
        },
    ];
    for case in cases {
        let started = Instant::now();
        let result = explore(&Model::new(case.bounds, Fault::None));
        println!(
            "{}: {} states, max changes {:?}, {:?}",
            case.name,
            result.states,
            result.max_changes,
            started.elapsed()
        );
        if let Some((property, state)) = result.violation {
            panic!(
                "{}: violates \"{property}\": {:#?}",
                case.name,
                events(&state)
            );
        }
        assert_eq!(result.max_changes, case.max_changes, "{}", case.name);
    }
}

#[test]
fn each_fault_violates_a_property() {
    struct Case {
        fault: Fault,
        bounds: Bounds,
    }
    let cases = [
        Case {
            fault: Fault::TermFromResponse,
            bounds: renewal(),
        },
        Case {
            fault: Fault::SuccessorStartsFull,
            bounds: takeover(),
        },
        Case {
            fault: Fault::WatchStartsEarly,
            bounds: renewal(),
        },
        Case {
            fault: Fault::RenewalUnchecked,
            bounds: renewal(),
        },
        Case {
            fault: Fault::TakesWholeSlice,
            bounds: renewal(),
        },
        Case {
            fault: Fault::HandsOverFullBuckets,
            bounds: shutdown(),
        },
    ];
    for case in cases {
        let started = Instant::now();
        let result = explore(&Model::new(case.bounds, case.fault));
        let Some((property, state)) = result.violation else {
            panic!("{:?}: not detected in {} states", case.fault, result.states);
        };
        println!(
            "{:?}: violates \"{property}\" after {} states, {:?}: {:?}",
            case.fault,
            result.states,
            started.elapsed(),
            events(&state)
        );
    }
}
