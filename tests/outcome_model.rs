//! Exhaustive check of a model of one request with its arrivals at the fleet, its targets and its
//! claim.
//!
//! The model uses the decisions of the daemon, [`RequestStateMachine`] and [`ClaimStateMachine`].
//! The search must detect every mutation.

mod model;

use std::{cell::Cell, time::Instant};

use model::{Mutation, Scenario, State};
use pathfinding::directed::bfs::bfs;

/// Searches all states of a scenario; returns their number and the shortest path to a violation.
fn search(scenario: &Scenario) -> (usize, Option<Vec<State>>) {
    let expanded = Cell::new(0);
    let path = bfs(
        &State::new(scenario),
        |state| {
            expanded.set(expanded.get() + 1);
            state.successors(scenario)
        },
        |state| state.violation(scenario).is_some(),
    );
    (expanded.get(), path)
}

const CLAIMED: Scenario = Scenario {
    claimed: true,
    repeatable: false,
    replayable: true,
    arrivals: 2,
    faults: 4,
    mutation: Mutation::None,
};
const UNCLAIMED: Scenario = Scenario {
    claimed: false,
    ..CLAIMED
};
const REPEATABLE: Scenario = Scenario {
    claimed: false,
    repeatable: true,
    faults: 3,
    ..CLAIMED
};

#[test]
fn no_state_violates_an_outcome() {
    let scenarios = [
        CLAIMED,
        Scenario {
            arrivals: 3,
            faults: 3,
            ..CLAIMED
        },
        Scenario {
            replayable: false,
            ..CLAIMED
        },
        UNCLAIMED,
        REPEATABLE,
    ];
    for scenario in scenarios {
        let begin = Instant::now();
        let (states, path) = search(&scenario);
        println!("{scenario:?}: {states} states, {:?}", begin.elapsed());
        if let Some(path) = path {
            let last = path.last().and_then(|w| w.violation(&scenario));
            panic!("{scenario:?}: {last:?}\n{path:#?}");
        }
    }
}

#[test]
fn every_mutation_is_detected() {
    struct Case {
        scenario: Scenario,
        violation: &'static str,
    }
    let with = |scenario: Scenario, mutation| Scenario {
        mutation,
        ..scenario
    };
    let cases = [
        Case {
            scenario: with(CLAIMED, Mutation::RunsUnclaimed),
            violation: "ran twice",
        },
        Case {
            scenario: with(CLAIMED, Mutation::TakesRunningClaims),
            violation: "ran twice",
        },
        Case {
            scenario: with(CLAIMED, Mutation::ReleasesAfterPossibleRun),
            violation: "ran twice",
        },
        Case {
            scenario: Scenario {
                arrivals: 3,
                faults: 3,
                ..with(CLAIMED, Mutation::ReleasesWithoutVersionCheck)
            },
            violation: "ran twice",
        },
        Case {
            scenario: with(UNCLAIMED, Mutation::RetriesAfterPossibleRun),
            violation: "ran twice",
        },
        Case {
            scenario: with(UNCLAIMED, Mutation::ReportsTimeoutAsNotRun),
            violation: "not-run, but ran",
        },
        Case {
            scenario: with(REPEATABLE, Mutation::PoolsSilentConnections),
            violation: "answer of another request",
        },
    ];
    for case in cases {
        let (states, path) = search(&case.scenario);
        let path = path.unwrap_or_else(|| panic!("{:?} not detected", case.scenario.mutation));
        let found = path.last().and_then(|w| w.violation(&case.scenario));
        println!(
            "{:?}: {states} states, {} steps, {found:?}",
            case.scenario.mutation,
            path.len() - 1
        );
        assert_eq!(found, Some(case.violation), "{:?}", case.scenario.mutation);
    }
}
