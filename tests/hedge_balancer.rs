//! Which targets get second attempts of hedged requests, and what these tell about them.

mod balancer_fixture;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use chervillug::{
    clock::BootTime,
    health::{
        Balancer, Choice, EntryWarmup, Evacuations, FleetShare, Observation, ScheduleRequest,
        Scheduler, TargetState, WarmupTerms, WorkResult,
    },
    proxy::TargetReport,
    queue::QueueId,
};

use balancer_fixture::{at, balancer, hosts};

/// Starts a request at the target `name`, whichever the balancer prefers.
fn start_at(balancer: &mut Balancer, name: &str, now: BootTime) -> Choice {
    let id = balancer.target_by_name(name).expect("is listed").id;
    balancer.start_granted(id, now).expect("accepts requests")
}

fn finish(balancer: &mut Balancer, choice: &Choice, result: WorkResult, ms: u64, now: BootTime) {
    let latency = Duration::from_millis(ms);
    let obs = Observation { result, latency };
    balancer.observe(choice.id, choice.attempt, &obs, now);
    balancer.release(choice.id, choice.attempt);
}

struct Case {
    name: &'static str,
    /// Makes the only other target unfit, or not.
    change: fn(&mut Balancer),
    is_picked: bool,
}

/// Guards against second attempts that go to the target of the first, or to one that is leaving,
/// limited, cold, evacuated, on trial, suspected or without a free slot.
#[test]
fn only_a_sound_target_with_a_free_slot_is_picked() {
    fn report(balancer: &mut Balancer, report: TargetReport) {
        let id = balancer.target_by_name("t1").expect("is listed").id;
        balancer.apply_report(id, report, at(0));
    }
    let cases = [
        Case {
            name: "sound",
            change: |_| {},
            is_picked: true,
        },
        Case {
            name: "one of two slots taken",
            change: |b| drop(start_at(b, "t1", at(0))),
            is_picked: true,
        },
        Case {
            name: "all slots taken by this daemon",
            change: |b| {
                start_at(b, "t1", at(0));
                start_at(b, "t1", at(0));
            },
            is_picked: false,
        },
        Case {
            name: "all slots taken by others",
            change: |b| {
                let load = Some(1.0);
                report(
                    b,
                    TargetReport {
                        load,
                        ..TargetReport::default()
                    },
                );
            },
            is_picked: false,
        },
        Case {
            name: "leaving by the list",
            change: |b| {
                let mut hosts = hosts(2);
                hosts[1].leaving = true;
                b.set_targets(&hosts, at(0));
            },
            is_picked: false,
        },
        Case {
            name: "leaving for good by its response",
            change: |b| {
                let id = b.target_by_name("t1").expect("is listed").id;
                b.apply_leaving(id);
            },
            is_picked: false,
        },
        Case {
            name: "cold by its response",
            change: |b| {
                let state = Some(TargetState::Cold);
                report(
                    b,
                    TargetReport {
                        state,
                        ..TargetReport::default()
                    },
                );
            },
            is_picked: false,
        },
        Case {
            name: "cold with a limit",
            change: |b| {
                let terms = WarmupTerms {
                    duration: Duration::from_secs(30),
                    rate_per_s: 100.0,
                    daemons: 1,
                };
                b.set_warmup_terms(BTreeMap::from([(Rc::from("one"), terms)]), at(0));
                let entry = |target: &str, left_s| EntryWarmup {
                    target: target.to_owned(),
                    version: 1.into(),
                    may_be_restored: false,
                    left: Duration::from_secs(left_s),
                };
                b.record_entries(&[entry("t0", 0), entry("t1", 30)], at(0));
            },
            is_picked: false,
        },
        Case {
            name: "ramping up",
            change: |b| {
                b.set_targets(&hosts(1), at(0));
                b.set_targets(&hosts(2), at(0));
            },
            is_picked: false,
        },
        Case {
            name: "limited",
            change: |b| {
                let id = b.target_by_name("t1").expect("is listed").id;
                b.apply_named_limit(id, Some(1000.0), FleetShare::ALONE, at(0));
            },
            is_picked: false,
        },
        Case {
            name: "paused",
            change: |b| {
                let id = b.target_by_name("t1").expect("is listed").id;
                b.apply_pause(id, Duration::from_secs(5), at(0));
            },
            is_picked: false,
        },
        Case {
            name: "evacuated",
            change: |b| {
                let evacuations = Evacuations {
                    in_force: [Rc::from("b")].into(),
                    ..Evacuations::default()
                };
                b.set_evacuations(&evacuations, at(0));
            },
            is_picked: false,
        },
        Case {
            name: "breaker open",
            change: |b| {
                let id = b.target_by_name("t1").expect("is listed").id;
                b.trip_breaker(id, at(0));
            },
            is_picked: false,
        },
        Case {
            name: "suspected",
            change: |b| {
                for _ in 0..100 {
                    let good = start_at(b, "t0", at(0));
                    finish(b, &good, WorkResult::Success, 5, at(0));
                    let bad = start_at(b, "t1", at(0));
                    finish(b, &bad, WorkResult::ServerError, 5, at(0));
                }
            },
            is_picked: false,
        },
    ];
    for case in &cases {
        let mut balancer = balancer(2, 1);
        (case.change)(&mut balancer);
        let first = start_at(&mut balancer, "t0", at(100));
        let picked = balancer.pick_hedge("one", first.id, at(100));
        let name = picked.as_ref().map(|choice| &*choice.name);
        let expected = case.is_picked.then_some("t1");
        assert_eq!(name, expected, "{}", case.name);
    }
}

/// Guards against second attempts ahead of requests that wait for a slot.
#[test]
fn nothing_is_hedged_while_requests_wait() {
    let mut scheduler: Scheduler<()> = Scheduler::new(balancer(2, 1));
    let req = ScheduleRequest {
        service: Rc::from("one"),
        workspace: Rc::from("big"),
        rate_per_s: 100.0,
        rank: 0,
        resent_early: false,
        repeatable: true,
        deadline: at(1000),
        avoid: Vec::new(),
    };
    for n in 0..5 {
        scheduler.submit(QueueId(n), req.clone(), (), at(0));
    }
    assert_eq!(scheduler.counts().queued, 1);
    let first = scheduler.balancer.target_by_name("t0").expect("is listed");
    let (first, other) = (first.id, scheduler.balancer.target_by_name("t1"));
    let other = other.expect("is listed").id;
    let attempts: Vec<_> = (0..4).map(chervillug::health::AttemptId).collect();
    for attempt in attempts {
        // Frees a slot without serving the queue.
        scheduler.balancer.release(other, attempt);
    }
    assert!(scheduler.balancer.pick_hedge("one", first, at(0)).is_some());
    assert!(scheduler.pick_hedge("one", first, at(0)).is_none());
}

struct CentreCase {
    name: &'static str,
    /// Latencies of the data centres of the first target and of the other one, ms.
    own_ms: u64,
    other_ms: u64,
    /// Whether the requests in the data centre of the first target are not answered at all.
    hangs: bool,
    centres: &'static [&'static str],
}

/// Guards against second attempts that go to the data centre of the first target while that is slow
/// as a whole.
#[test]
fn slow_data_centre_is_left() {
    let cases = [
        CentreCase {
            name: "equal",
            own_ms: 20,
            other_ms: 20,
            hangs: false,
            centres: &["a"],
        },
        CentreCase {
            name: "three times slower",
            own_ms: 60,
            other_ms: 20,
            hangs: false,
            centres: &["b"],
        },
        CentreCase {
            name: "hangs",
            own_ms: 20,
            other_ms: 20,
            hangs: true,
            centres: &["b"],
        },
        CentreCase {
            name: "the other one is slow",
            own_ms: 20,
            other_ms: 60,
            hangs: false,
            centres: &["a"],
        },
    ];
    for case in &cases {
        for seed in 0..10 {
            let mut balancer = balancer(8, seed);
            for n in 0..40 {
                let (name, ms) = match n % 2 {
                    0 => ("t2", case.own_ms),
                    _ => ("t3", case.other_ms),
                };
                let choice = start_at(&mut balancer, name, at(n));
                finish(&mut balancer, &choice, WorkResult::Success, ms, at(n));
            }
            let first = start_at(&mut balancer, "t0", at(100));
            if case.hangs {
                // The target t6 has free slots, and is chosen unless its data centre is slow.
                for name in ["t2", "t4", "t2", "t4"] {
                    start_at(&mut balancer, name, at(50));
                }
            }
            let now = if case.hangs { at(1000) } else { at(130) };
            let choice = balancer.pick_hedge("one", first.id, now);
            let choice = choice.unwrap_or_else(|| panic!("{}: no target", case.name));
            assert_ne!(choice.id, first.id, "{}", case.name);
            let target = balancer.target(choice.id).expect("is listed");
            let centre = &*target.data_centre;
            assert!(case.centres.contains(&centre), "{}: {centre}", case.name);
        }
    }
}

/// Guards against evidence from second attempts that lost: they are late because the first attempt
/// answered later still, or not at all.
#[test]
fn second_attempt_that_lost_is_no_evidence() {
    let late = |is_second: bool| {
        let mut balancer = balancer(2, 1);
        for n in 0..200 {
            for name in ["t0", "t1"] {
                let choice = start_at(&mut balancer, name, at(n * 10));
                finish(&mut balancer, &choice, WorkResult::Success, 5, at(n * 10));
            }
        }
        let now = 2000;
        for n in 0..50 {
            let started = at(now + n * 1000);
            let first = start_at(&mut balancer, "t0", started);
            let second = if is_second {
                balancer.pick_hedge("one", first.id, started)
            } else {
                Some(start_at(&mut balancer, "t1", started))
            };
            let second = second.expect("a target");
            assert_eq!(&*second.name, "t1");
            finish(&mut balancer, &first, WorkResult::Success, 5, started);
            balancer.tick(at(now + n * 1000 + 900));
            balancer.release(second.id, second.attempt);
        }
        let now = at(now + 50_000);
        let target = balancer.targets(now).find(|(t, _)| &*t.name == "t1");
        target.expect("is listed").1
    };
    assert!(late(false) > 0.0, "other late requests are evidence");
    assert!(late(true) <= 0.0);
}
