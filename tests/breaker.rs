//! The circuit breaker of one target, and target selection while breakers are open.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    health::{
        Balancer, Breaker, BreakerState, PendingNotice, PickRequest, Profile, SequentialDetector,
    },
    store::ListedHost,
};

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
}

struct Case {
    name: &'static str,
    /// Times of failures, in ms.
    failures: &'static [u64],
    /// Time of a success after them, in ms.
    success: Option<u64>,
    /// Time at which the state is checked, in ms.
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
        name: "before the end of the open time",
        failures: &[0],
        success: None,
        now: 1999,
        state: BreakerState::Open,
    },
    Case {
        name: "after the open time",
        failures: &[0],
        success: None,
        now: 2000,
        state: BreakerState::HalfOpen,
    },
    Case {
        name: "failure while half-open",
        failures: &[0, 2500],
        success: None,
        now: 4000,
        state: BreakerState::Open,
    },
    Case {
        name: "success while half-open",
        failures: &[0],
        success: Some(2500),
        now: 2501,
        state: BreakerState::Closed,
    },
    Case {
        name: "success of a request that started before the failure",
        failures: &[0],
        success: Some(500),
        now: 600,
        state: BreakerState::Open,
    },
    Case {
        name: "long after the failure",
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
        born: None,
    };
    (0..targets).map(host).collect()
}

fn balancer(targets: usize, floor: f64) -> Balancer {
    let detector = Box::new(SequentialDetector::new(Profile::default().options()));
    let mut balancer = Balancer::new(detector, floor, 1);
    balancer.set_targets(&hosts(targets), at(0));
    balancer
}

/// Picks 200 targets, and returns how often `t0` was picked.
fn count_picks_of_t0(balancer: &mut Balancer, repeatable: bool, now: BootTime) -> usize {
    let mut picks = 0;
    for _ in 0..200 {
        let req = PickRequest {
            service: "one",
            avoid: &[],
            repeatable,
        };
        let choice = balancer.pick(&req, now).expect("a target");
        picks += usize::from(&*choice.name == "t0");
        balancer.release(choice.id, choice.attempt);
    }
    picks
}

#[test]
fn half_open_target_receives_only_idempotent_requests() {
    let mut balancer = balancer(10, 0.7);
    balancer.trip_breakers(&["t0".to_owned()], at(0));
    assert_eq!(count_picks_of_t0(&mut balancer, true, at(1000)), 0);
    assert_eq!(count_picks_of_t0(&mut balancer, false, at(3000)), 0);
    assert!(count_picks_of_t0(&mut balancer, true, at(3000)) > 50);
    balancer.close_breakers(&["t0".to_owned()], at(3000));
    assert!(count_picks_of_t0(&mut balancer, false, at(3000)) > 5);
}

#[test]
fn half_open_targets_fill_up_to_the_floor() {
    let mut balancer = balancer(4, 0.7);
    let failed = ["t0", "t1", "t2"].map(str::to_owned);
    balancer.trip_breakers(&failed[..1], at(0));
    balancer.trip_breakers(&failed[1..], at(500));
    assert!(count_picks_of_t0(&mut balancer, false, at(2600)) > 20);
}

#[test]
fn last_target_is_routed_to_while_breaker_is_open() {
    let mut balancer = balancer(1, 0.7);
    balancer.trip_breakers(&["t0".to_owned()], at(0));
    assert_eq!(count_picks_of_t0(&mut balancer, false, at(100)), 200);
}

/// Number of daemons in the simulated fleet.
const DAEMONS: usize = 118;
/// Time until all daemons have received a failure notice.
const NOTICE_DELAY_MS: u64 = 20;
/// Time between two idempotent requests of one daemon.
const REQUEST_INTERVAL_MS: u64 = 400;

/// Simulates a fleet whose target `t0` fails at 0 and works from `works_from` on. Returns the times
/// at which it aborted and served requests, in ms.
fn simulate_fleet(works_from: u64, until: u64) -> (Vec<u64>, Vec<u64>) {
    let mut fleet: Vec<Balancer> = (0..DAEMONS).map(|i| fleet_balancer(i as u64 + 1)).collect();
    let failed = ["t0".to_owned()];
    fleet
        .iter_mut()
        .for_each(|b| b.trip_breakers(&failed, at(0)));
    let mut aborted = Vec::new();
    let mut served = Vec::new();
    for ms in 1..until {
        let failure_noticed = aborted.contains(&(ms.saturating_sub(NOTICE_DELAY_MS)));
        let recovery_noticed = served.contains(&(ms.saturating_sub(NOTICE_DELAY_MS)));
        for (i, balancer) in fleet.iter_mut().enumerate() {
            if failure_noticed && ms > NOTICE_DELAY_MS {
                balancer.trip_breakers(&failed, at(ms));
            }
            if recovery_noticed && ms > NOTICE_DELAY_MS {
                balancer.close_breakers(&failed, at(ms));
            }
            if ms % REQUEST_INTERVAL_MS != (i as u64 * 37) % REQUEST_INTERVAL_MS {
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
                served.push(ms);
            } else {
                balancer.trip_breaker(choice.id, at(ms));
                aborted.push(ms);
            }
        }
    }
    (aborted, served)
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
fn fleet_sends_few_test_requests_to_failing_target() {
    let (aborted, _) = simulate_fleet(u64::MAX, 10_000);
    // The open time of 2 s allows five tests in 10 s. During each, one more daemon may send a test
    // before the failure notice reaches it.
    assert!(aborted.len() <= 10, "{aborted:?}");
    assert!(!aborted.is_empty());
}

#[test]
fn fleet_returns_to_recovered_target_within_one_second_of_open_time() {
    let (_, served) = simulate_fleet(0, 10_000);
    let first = served.first().expect("a request served by the target");
    assert!((2000..3000).contains(first), "{first}");
}

#[test]
fn last_event_of_a_target_in_one_notice_decides_its_breaker_elsewhere() {
    struct Case {
        /// Whether the target failed, or recovered, in this order.
        failures: &'static [bool],
        failed: bool,
    }
    let cases = [
        Case {
            failures: &[true],
            failed: true,
        },
        Case {
            failures: &[true, false],
            failed: false,
        },
        Case {
            failures: &[false, true],
            failed: true,
        },
        Case {
            failures: &[true, false, true, false],
            failed: false,
        },
    ];
    for case in &cases {
        let mut notice = PendingNotice::default();
        for failed in case.failures {
            if *failed {
                notice.add_failed("t0");
            } else {
                notice.add_recovered("t0");
            }
        }
        assert_eq!(notice.failed.len(), usize::from(case.failed));
        assert_eq!(notice.recovered.len(), usize::from(!case.failed));
    }
}
