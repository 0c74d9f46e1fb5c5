//! The circuit breaker of one target, and the choice among targets whose breakers are open.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    health::{Balancer, Breaker, BreakerState, PickRequest, Profile, SequentialDetector},
    store::ListedHost,
};

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
}

struct Case {
    name: &'static str,
    /// Times of failures, ms.
    failures: &'static [u64],
    /// Time of a success behind them, ms.
    success: Option<u64>,
    /// When the state is looked at, ms.
    now: u64,
    state: BreakerState,
}

const CASES: [Case; 7] = [
    Case {
        name: "no failure",
        failures: &[],
        success: None,
        now: 0,
        state: BreakerState::Closed,
    },
    Case {
        name: "failure of a moment ago",
        failures: &[0],
        success: None,
        now: 1999,
        state: BreakerState::Open,
    },
    Case {
        name: "behind the hold",
        failures: &[0],
        success: None,
        now: 2000,
        state: BreakerState::HalfOpen,
    },
    Case {
        name: "failure on trial",
        failures: &[0, 2500],
        success: None,
        now: 4000,
        state: BreakerState::Open,
    },
    Case {
        name: "success on trial",
        failures: &[0],
        success: Some(2500),
        now: 2501,
        state: BreakerState::Closed,
    },
    Case {
        name: "success of work that was begun before the failure",
        failures: &[0],
        success: Some(500),
        now: 600,
        state: BreakerState::Open,
    },
    Case {
        name: "failure long ago",
        failures: &[0],
        success: None,
        now: 9000,
        state: BreakerState::Closed,
    },
];

#[test]
fn breaker_follows_failures_and_successes() {
    for case in &CASES {
        let mut breaker = Breaker::default();
        case.failures
            .iter()
            .for_each(|ms| breaker.record_failure(at(*ms), Duration::ZERO));
        if let Some(ms) = case.success {
            breaker.record_success(at(ms));
        }
        assert_eq!(breaker.state(at(case.now)), case.state, "{}", case.name);
    }
}

fn hosts(targets: usize) -> Vec<ListedHost> {
    let host = |i| ListedHost {
        name: format!("t{i}"),
        data_centre: "a".to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        service: Some("one".to_owned()),
        slots: 2,
        leaving: false,
        cold: false,
    };
    (0..targets).map(host).collect()
}

fn balancer(targets: usize, floor: f64) -> Balancer {
    let detector = Box::new(SequentialDetector::new(Profile::default().options()));
    let mut balancer = Balancer::new(detector, floor, 1);
    balancer.set_targets(&hosts(targets), at(0));
    balancer
}

/// Returns how many of 200 picks each go to `t0`.
fn picks_of_first(balancer: &mut Balancer, repeatable: bool, now: BootTime) -> usize {
    let mut of_first = 0;
    for _ in 0..200 {
        let req = PickRequest {
            service: "one",
            avoid: &[],
            repeatable,
        };
        let choice = balancer.pick(&req, now).expect("a target");
        of_first += usize::from(&*choice.name == "t0");
        balancer.release(choice.id, choice.attempt);
    }
    of_first
}

#[test]
fn half_open_target_gets_idempotent_work_only() {
    let mut balancer = balancer(10, 0.7);
    balancer.trip_breakers(&["t0".to_owned()], at(0));
    assert_eq!(picks_of_first(&mut balancer, true, at(1000)), 0);
    assert_eq!(picks_of_first(&mut balancer, false, at(3000)), 0);
    assert!(picks_of_first(&mut balancer, true, at(3000)) > 50);
    balancer.close_breakers(&["t0".to_owned()], at(3000));
    assert!(picks_of_first(&mut balancer, false, at(3000)) > 5);
}

#[test]
fn half_open_targets_fill_up_to_the_floor() {
    let mut balancer = balancer(4, 0.7);
    let failed = ["t0", "t1", "t2"].map(str::to_owned);
    balancer.trip_breakers(&failed[..1], at(0));
    balancer.trip_breakers(&failed[1..], at(500));
    assert!(picks_of_first(&mut balancer, false, at(2600)) > 20);
}

#[test]
fn one_target_always_stays() {
    let mut balancer = balancer(1, 0.7);
    balancer.trip_breakers(&["t0".to_owned()], at(0));
    assert_eq!(picks_of_first(&mut balancer, false, at(100)), 200);
}

/// Daemons of the fleet that tests a target together.
const FLEET: usize = 118;
/// Time in which all daemons hear of a failure, ms.
const NOTICE_MS: u64 = 20;
/// Time between two idempotent requests of one daemon, ms.
const REQUEST_GAP_MS: u64 = 400;

/// Plays a fleet whose first target works from `works_from` on; returns when it broke off
/// work, and when it did work again, ms.
fn play_fleet(works_from: u64, until: u64) -> (Vec<u64>, Vec<u64>) {
    let mut fleet: Vec<Balancer> = (0..FLEET).map(|i| fleet_balancer(i as u64 + 1)).collect();
    let failed = ["t0".to_owned()];
    fleet
        .iter_mut()
        .for_each(|b| b.trip_breakers(&failed, at(0)));
    let mut broken_off = Vec::new();
    let mut worked = Vec::new();
    for ms in 1..until {
        let heard = broken_off.contains(&(ms.saturating_sub(NOTICE_MS)));
        let recovered = worked.contains(&(ms.saturating_sub(NOTICE_MS)));
        for (i, balancer) in fleet.iter_mut().enumerate() {
            if heard && ms > NOTICE_MS {
                balancer.trip_breakers(&failed, at(ms));
            }
            if recovered && ms > NOTICE_MS {
                balancer.close_breakers(&failed, at(ms));
            }
            if ms % REQUEST_GAP_MS != (i as u64 * 37) % REQUEST_GAP_MS {
                continue;
            }
            let req = PickRequest {
                service: "one",
                avoid: &[],
                repeatable: true,
            };
            let choice = balancer.pick(&req, at(ms)).expect("a target");
            balancer.release(choice.id, choice.attempt);
            if &*choice.name != "t0" {
                continue;
            }
            if ms >= works_from {
                worked.push(ms);
            } else {
                balancer.trip_breaker(choice.id, at(ms));
                broken_off.push(ms);
            }
        }
    }
    (broken_off, worked)
}

fn fleet_balancer(seed: u64) -> Balancer {
    let mut balancer = Balancer::new(
        Box::new(SequentialDetector::new(Profile::default().options())),
        0.7,
        seed,
    );
    balancer.set_targets(&hosts(20), at(0));
    balancer
}

#[test]
fn fleet_tests_a_failing_target_with_few_requests() {
    let (broken_off, _) = play_fleet(u64::MAX, 10_000);
    // The hold of 2 s allows five tests in 10 s; each may meet one more before its news spread.
    assert!(broken_off.len() <= 10, "{broken_off:?}");
    assert!(!broken_off.is_empty());
}

#[test]
fn fleet_returns_to_a_target_that_works_again_within_a_second_of_the_hold() {
    let (_, worked) = play_fleet(0, 10_000);
    let first = worked.first().expect("work at the target");
    assert!((2000..3000).contains(first), "{first}");
}
