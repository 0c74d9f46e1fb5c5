//! Cold targets before one daemon and before a simulated fleet.

mod warmup_sim;

use std::time::Duration;

use chervillug::health::{FleetShare, PickError};

use warmup_sim::{
    at, balancer, Disturbance, Sim, COLD, END, EVACUATED_AT, ONE, RATE_PER_S, RETURNED_AT,
    TOLERANCE,
};

/// Guards against requests that wait, or that are sent, although only cold targets without tokens
/// are left, and against a target that gets its full load at the end of its warm-up.
#[test]
fn requests_beyond_the_limit_are_throttled_and_targets_ramp_up_afterwards() {
    let mut balancer = balancer(1, 1, 0);
    let needed = balancer.take_shares_needed();
    assert_eq!(needed.len(), 1);
    let alone = FleetShare::ALONE;
    balancer.set_warmup_share(needed[0].0, alone, at(0));
    let sent = (0..1000).filter(|ms| match balancer.pick(&ONE, at(*ms)) {
        Ok(choice) => {
            balancer.release(choice.id, choice.attempt);
            assert_eq!(choice.send_by, Some(at(ms + 500)));
            true
        }
        Err(PickError::Throttled(wait)) => {
            assert!(!wait.is_zero() && wait <= Duration::from_millis(150));
            false
        }
        Err(e) => panic!("{e:?}"),
    });
    assert_eq!(sent.count(), 6);
    let target = balancer.target_by_name("t0").expect("the target");
    assert!(target.weight(at(12_000)) < 0.2);
    assert!((target.weight(at(17_000)) - 1.0).abs() < 1e-9);
}

/// Guards against probes that reach a target in greater number than needed to verify it.
#[test]
fn unverified_targets_are_probed_a_few_at_once_until_verified() {
    let mut balancer = balancer(1, 30, 10);
    assert!(balancer.targets_to_probe(at(50)).is_empty(), "no request");
    assert!(balancer.pick(&ONE, at(100)).is_err());
    let first = balancer.targets_to_probe(at(100));
    assert_eq!(first.len(), 8);
    for (id, _) in &first {
        balancer.record_probe_warmup(*id, Some(Duration::ZERO), at(100));
    }
    let second = balancer.targets_to_probe(at(200));
    assert_eq!(second.len(), 8);
    assert!(second.iter().all(|probe| !first.contains(probe)));
    balancer.record_probe_warmup(second[0].0, None, at(300));
    assert!(!balancer.targets_to_probe(at(400)).contains(&second[0]));
    assert_eq!(balancer.cold_targets(at(400)).len(), 22);
}

/// Guards against a fleet that sends a cold target more than it survives, whatever part of it is
/// partitioned, suspended or restarted, and against one that leaves cold targets unused.
#[test]
fn fleet_keeps_to_the_limit_of_a_data_centre_that_returns_cold() {
    struct Case {
        name: &'static str,
        disturbance: Disturbance,
        /// Targets of the data centres that stay in use.
        others: usize,
        rate_per_s: f64,
        /// Least share of requests that are answered.
        min_served: f64,
        /// Least share of the rate that cold targets get while they are the only ones.
        min_used: f64,
    }
    let case = |name, disturbance, others, rate_per_s, min_served, min_used| Case {
        name,
        disturbance,
        others,
        rate_per_s,
        min_served,
        min_used,
    };
    let cases = [
        case("undisturbed", Disturbance::None, 60, 600.0, 0.99, 0.0),
        case("partition", Disturbance::Partition, 60, 600.0, 0.99, 0.0),
        case("restarts", Disturbance::Restart, 60, 600.0, 0.97, 0.0),
        case("suspension", Disturbance::Suspension, 60, 600.0, 0.99, 0.0),
        case("high load", Disturbance::None, 60, 2400.0, 0.5, 0.0),
        case(
            "high load, partition",
            Disturbance::Partition,
            60,
            2400.0,
            0.5,
            0.0,
        ),
        case(
            "high load, restarts",
            Disturbance::Restart,
            60,
            2400.0,
            0.5,
            0.0,
        ),
        case("few others", Disturbance::None, 1, 1200.0, 0.05, 0.5),
        case(
            "few others, restarts",
            Disturbance::Restart,
            1,
            1200.0,
            0.05,
            0.5,
        ),
        case("no others", Disturbance::None, 0, 400.0, 0.2, 0.8),
        case(
            "no others, partition",
            Disturbance::Partition,
            0,
            400.0,
            0.2,
            0.7,
        ),
        case(
            "no others, restarts",
            Disturbance::Restart,
            0,
            400.0,
            0.2,
            0.8,
        ),
        case(
            "no others, removal",
            Disturbance::Removal,
            0,
            400.0,
            0.2,
            0.8,
        ),
        case(
            "no others, suspension",
            Disturbance::Suspension,
            0,
            400.0,
            0.2,
            0.6,
        ),
        case(
            "few others, suspension",
            Disturbance::Suspension,
            1,
            1200.0,
            0.05,
            0.4,
        ),
    ];
    let limit = TOLERANCE.max_per_s(RATE_PER_S);
    for case in &cases {
        for seed in 1..=3 {
            let mut sim = Sim::new(seed, COLD + case.others, case.disturbance);
            sim.run(case.rate_per_s);
            let most = sim.most_per_s();
            let served = sim.served as f64 / sim.sent as f64;
            let cold_s = 8.0;
            let cold_arrivals = sim.arrivals_in(RETURNED_AT + 4000..RETURNED_AT + 12_000);
            let used = cold_arrivals as f64 / (cold_s * COLD as f64 * RATE_PER_S);
            println!(
                "{} {seed}: most {most}, served {served:.3}, throttled {}, busy {}, used {used:.2}",
                case.name, sim.throttled, sim.busy
            );
            let has_others = case.others > 0;
            assert!(!has_others || sim.without_target == 0, "{}", case.name);
            assert!((most as f64) < limit, "{} {seed}: {most} in 1 s", case.name);
            assert!(served >= case.min_served, "{} {seed}: {served}", case.name);
            assert!(used >= case.min_used, "{} {seed}: {used}", case.name);
            let evacuated = sim.arrivals_in(EVACUATED_AT + 1100..RETURNED_AT);
            assert_eq!(evacuated, 0, "{} {seed}: while evacuated", case.name);
            let returned = sim.arrivals_in(RETURNED_AT + 13_000..END);
            assert!(returned > 0, "{} {seed}: after the warm-up", case.name);
        }
    }
}
