//! Model of one request, its arrivals at the fleet, its targets and its claim, searched whole.
//!
//! The decisions are those of the daemon: [`RequestStateMachine`] and [`ClaimStateMachine`]. Each broken
//! variant must be found out.

mod model;

use std::{cell::Cell, time::Instant};

use model::{Broken, Scenario, World};
use pathfinding::directed::bfs::bfs;

/// Searches all worlds of a scenario; returns the shortest way to a violation.
fn search(scenario: &Scenario) -> (usize, Option<Vec<World>>) {
    let expanded = Cell::new(0);
    let way = bfs(
        &World::new(scenario),
        |world| {
            expanded.set(expanded.get() + 1);
            world.successors(scenario)
        },
        |world| world.violation(scenario).is_some(),
    );
    (expanded.get(), way)
}

const CLAIMED: Scenario = Scenario {
    claimed: true,
    repeatable: false,
    replayable: true,
    arrivals: 2,
    faults: 4,
    broken: Broken::No,
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
fn no_world_violates_an_outcome() {
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
        let (states, way) = search(&scenario);
        println!("{scenario:?}: {states} states, {:?}", begin.elapsed());
        if let Some(way) = way {
            let last = way.last().and_then(|w| w.violation(&scenario));
            panic!("{scenario:?}: {last:?}\n{way:#?}");
        }
    }
}

#[test]
fn each_broken_variant_is_found() {
    struct Case {
        scenario: Scenario,
        violation: &'static str,
    }
    let with = |scenario: Scenario, broken| Scenario { broken, ..scenario };
    let cases = [
        Case {
            scenario: with(CLAIMED, Broken::RunsUnclaimed),
            violation: "ran twice",
        },
        Case {
            scenario: with(CLAIMED, Broken::TakesRunningClaims),
            violation: "ran twice",
        },
        Case {
            scenario: with(CLAIMED, Broken::ReleasesWhatMayHaveRun),
            violation: "ran twice",
        },
        Case {
            scenario: Scenario {
                arrivals: 3,
                faults: 3,
                ..with(CLAIMED, Broken::ReleasesUnchecked)
            },
            violation: "ran twice",
        },
        Case {
            scenario: with(UNCLAIMED, Broken::RetriesWhatMayHaveRun),
            violation: "ran twice",
        },
        Case {
            scenario: with(UNCLAIMED, Broken::TellsTimeoutAsNotRun),
            violation: "not-run, but ran",
        },
        Case {
            scenario: with(REPEATABLE, Broken::KeepsSilentConnections),
            violation: "answer of another request",
        },
    ];
    for case in cases {
        let (states, way) = search(&case.scenario);
        let way = way.unwrap_or_else(|| panic!("{:?} not found", case.scenario.broken));
        let found = way.last().and_then(|w| w.violation(&case.scenario));
        println!(
            "{:?}: {states} states, {} steps, {found:?}",
            case.scenario.broken,
            way.len() - 1
        );
        assert_eq!(found, Some(case.violation), "{:?}", case.scenario.broken);
    }
}
