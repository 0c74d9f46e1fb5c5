//! Evacuation of data centres: which targets the balancer picks.

mod balancer_fixture;

use std::{rc::Rc, time::Duration};

use chervillug::{
    health::{
        Balancer, Evacuations, FleetShare, LimitNews, Observation, PickError, PickRequest,
        ProbeOnlyDetector, Reversal, ScheduleRequest, Scheduler, WorkResult,
    },
    outcome::ErrorKind,
    queue::QueueId,
    retry::{Action, Event, RequestStateMachine, RetryPolicy},
};

use balancer_fixture::{at, balancer, hosts};

fn evacuations(in_force: &[&str], reverted: &[&str]) -> Evacuations {
    let reversal = |name: &&str| Reversal {
        data_centre: Rc::from(*name),
        version: None,
    };
    Evacuations {
        in_force: in_force.iter().map(|name| Rc::from(*name)).collect(),
        reverted: reverted.iter().map(reversal).collect(),
    }
}

const ONE: PickRequest<'static> = PickRequest {
    service: "one",
    avoid: &[],
    repeatable: true,
};

/// Guards against a path by which a request reaches a target in an evacuated data centre: first
/// attempts, retries, trials, half-open breakers and targets listed later.
#[test]
fn no_pick_returns_a_target_in_an_evacuated_data_centre() {
    for seed in 0..20 {
        let mut balancer = balancer(8, seed);
        let mut now = 0;
        // Some targets of both data centres are ejected, some have tripped breakers.
        for _ in 0..200 {
            now += 5;
            let Ok(choice) = balancer.pick(&ONE, at(now)) else {
                continue;
            };
            let i: u64 = choice.name[1..].parse().expect("a number");
            let result = if i < 2 {
                WorkResult::Lost
            } else {
                WorkResult::Success
            };
            if i == 2 || i == 3 {
                balancer.trip_breaker(choice.id, at(now));
            }
            let latency = Duration::from_millis(5);
            balancer.observe(
                choice.id,
                choice.attempt,
                &Observation { result, latency },
                at(now),
            );
            balancer.release(choice.id, choice.attempt);
        }
        balancer.set_evacuations(&evacuations(&["a"], &[]), at(now));
        balancer.set_targets(&hosts(10), at(now));
        let mut tried = Vec::new();
        for _ in 0..2000 {
            now += 5;
            let avoid: Vec<_> = tried.iter().rev().take(2).copied().collect();
            let req = PickRequest {
                avoid: &avoid,
                ..ONE
            };
            let choice = balancer.pick(&req, at(now)).expect("a target");
            let target = balancer.target(choice.id).expect("the target");
            assert_eq!(&*target.data_centre, "b", "seed {seed}");
            balancer.release(choice.id, choice.attempt);
            tried.push(choice.id);
        }
    }
}

/// Guards against a target whose entry names another data centre than before.
#[test]
fn target_that_moves_follows_the_evacuation_of_its_new_data_centre() {
    let mut balancer = balancer(2, 1);
    balancer.set_evacuations(&evacuations(&["a"], &[]), at(0));
    let mut moved = hosts(2);
    moved[0].data_centre = "b".to_owned();
    moved[1].data_centre = "a".to_owned();
    balancer.set_targets(&moved, at(1));
    for ms in 2..50 {
        let choice = balancer.pick(&ONE, at(ms)).expect("a target");
        assert_eq!(&*choice.name, "t0");
        balancer.release(choice.id, choice.attempt);
    }
}

/// Guards against probes of evacuated targets.
#[test]
fn evacuated_targets_are_not_probed() {
    let mut balancer = Balancer::new(Box::<ProbeOnlyDetector>::default(), 0.7, 1);
    balancer.set_targets(&hosts(4), at(0));
    assert_eq!(balancer.targets_to_probe(at(2000)).len(), 4);
    balancer.set_evacuations(&evacuations(&["a"], &[]), at(2000));
    assert_eq!(balancer.targets_to_probe(at(2000)).len(), 2);
    balancer.set_evacuations(&evacuations(&[], &["a"]), at(3000));
    assert_eq!(balancer.targets_to_probe(at(3000)).len(), 4);
}

/// Guards against tokens of limited targets that are lent, borrowed or used after the evacuation.
#[test]
fn tokens_of_evacuated_targets_are_neither_lent_nor_used() {
    let mut balancer = balancer(2, 1);
    for name in ["t0", "t1"] {
        let news = LimitNews::Named(1.0);
        balancer.apply_limit_news(name, news, FleetShare::ALONE, at(0));
        balancer.lend_token(name, false, at(0));
    }
    balancer.routed_targets("one", at(1));
    assert_eq!(balancer.borrowable_targets("one", &[], at(1)).len(), 2);
    let evacuated = balancer.target_by_name("t0").expect("the target").id;
    balancer.set_evacuations(&evacuations(&["a"], &[]), at(1));
    balancer.routed_targets("one", at(1));
    assert_eq!(balancer.borrowable_targets("one", &[], at(1)).len(), 1);
    assert!(balancer.start_granted(evacuated, at(1)).is_none());
    assert!(!balancer.lend_token("t0", false, at(5000)));
    assert!(balancer.lend_token("t1", false, at(5000)));
}

/// Guards against requests in flight that are dropped, and against requests that were picked but
/// not sent when the evacuation began.
#[test]
fn requests_in_flight_continue_and_picks_that_were_not_sent_are_marked() {
    let mut balancer = balancer(1, 1);
    let choice = balancer.pick(&ONE, at(0)).expect("a target");
    assert!(!choice.evacuated.get());
    balancer.set_evacuations(&evacuations(&["a"], &[]), at(1));
    assert!(choice.evacuated.get());
    assert_eq!(
        balancer
            .target(choice.id)
            .expect("the target")
            .in_flight
            .len(),
        1
    );
    balancer.release(choice.id, choice.attempt);
    assert_eq!(
        balancer
            .target(choice.id)
            .expect("the target")
            .in_flight
            .len(),
        0
    );
}

/// Guards against a request that is rejected, sent twice or charged an attempt because its target
/// was evacuated between the choice and the first byte.
#[test]
fn withdrawn_target_is_replaced_only_before_the_first_byte() {
    let mut machine = RequestStateMachine::new(RetryPolicy {
        repeatable: false,
        replayable: false,
        retry_on_silence: false,
        trust_recent_connections: true,
        max_attempts: 1,
    });
    for _ in 0..3 {
        machine.step(Event::Picked);
        assert_eq!(
            machine.step(Event::TargetWithdrawn),
            None,
            "while connecting"
        );
        let connected = machine.step(Event::Connected { reused: true });
        assert_eq!(connected, Some(Action::Send));
        assert_eq!(machine.step(Event::TargetWithdrawn), Some(Action::Pick));
        assert_eq!(machine.attempts(), 0);
    }
    let mut rejected = machine.clone();
    let none_left = Some(Action::RespondError(ErrorKind::NoTarget));
    assert_eq!(rejected.step(Event::NoTarget), none_left);
    assert!(!rejected.may_have_run());
    machine.step(Event::Picked);
    machine.step(Event::Connected { reused: false });
    machine.step(Event::SendStarted);
    assert_eq!(
        machine.step(Event::TargetWithdrawn),
        None,
        "after the first byte"
    );
}

/// Guards against requests that wait in a queue until their deadline although no target is left.
#[test]
fn requests_are_rejected_when_all_data_centres_are_evacuated() {
    let mut scheduler = Scheduler::new(balancer(2, 1));
    let request = || ScheduleRequest {
        service: Rc::from("one"),
        workspace: Rc::from("w"),
        rate_per_s: 0.0,
        rank: 0,
        resent_early: false,
        repeatable: true,
        deadline: at(60_000),
        avoid: Vec::new(),
    };
    let submit =
        |scheduler: &mut Scheduler<()>, id, now| scheduler.submit(QueueId(id), request(), (), now);
    for id in 0..4 {
        let decision = submit(&mut scheduler, id, at(0)).expect("a decision");
        assert!(decision.res.is_ok());
    }
    assert!(submit(&mut scheduler, 4, at(0)).is_none(), "queued");
    scheduler
        .balancer
        .set_evacuations(&evacuations(&["a", "b"], &[]), at(1));
    let decisions = scheduler.tick(at(20));
    assert_eq!(decisions.len(), 1);
    assert_eq!(decisions[0].res.as_ref().err(), Some(&PickError::NoTarget));
    let decision = submit(&mut scheduler, 5, at(21)).expect("a decision");
    assert_eq!(decision.res.err(), Some(PickError::NoTarget));
}

/// Guards against a returned data centre that gets its full load at once.
#[test]
fn returned_targets_ramp_up() {
    let mut balancer = balancer(2, 1);
    balancer.set_evacuations(&evacuations(&["a"], &[]), at(0));
    balancer.set_evacuations(&evacuations(&[], &["a"]), at(10_000));
    let target = balancer.target_by_name("t0").expect("the target");
    assert!(target.weight(at(10_000)) < 0.2);
    assert!(target.weight(at(12_500)) < 0.7);
    assert!((target.weight(at(15_000)) - 1.0).abs() < 1e-9);
    let other = balancer.target_by_name("t1").expect("the target");
    assert!((other.weight(at(10_000)) - 1.0).abs() < 1e-9);
}
