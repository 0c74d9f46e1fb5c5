//! Evacuation of data centres: the rows of the operator, and which targets the balancer picks.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use bytes::Bytes;
use chervillug::{
    clock::BootTime,
    follow::{EvacuationFormat, EvacuationSink, FollowedTable},
    health::{
        Balancer, BalancerHandle, BalancerMessage, Evacuations, FleetShare, LimitNews, Observation,
        PickError, PickRequest, ProbeOnlyDetector, Profile, Reversal, ScheduleRequest, Scheduler,
        SequentialDetector, WorkResult,
    },
    metrics::{Counter, Metrics},
    outcome::ErrorKind,
    platform,
    retry::{Action, Event, RequestStateMachine, RetryPolicy},
    store::{ListedHost, StoredRow},
};
use local_sync::mpsc;

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
}

fn row(key: &str, value: Option<&str>, version: u64) -> StoredRow {
    StoredRow {
        key: key.to_owned(),
        value: value.map(|v| Bytes::copy_from_slice(v.as_bytes())),
        version,
    }
}

fn counted(metrics: &Metrics, counter: Counter) -> u64 {
    let mut value = 0;
    metrics.for_each_counter(|name, n| {
        if name == counter.name() {
            value = n;
        }
    });
    value
}

struct Copy {
    table: FollowedTable,
    rx: mpsc::unbounded::Rx<BalancerMessage>,
    metrics: Rc<Metrics>,
    in_force: BTreeSet<Rc<str>>,
    reverted: Vec<Reversal>,
}

impl Copy {
    fn new() -> Self {
        let (tx, rx) = mpsc::unbounded::channel();
        let metrics = Rc::new(Metrics::default());
        let format = EvacuationFormat {
            data_centre: platform::evacuated_data_centre,
            check_value: platform::check_evacuation_value,
        };
        let known = ["a".to_owned(), "b".to_owned()];
        let sink = EvacuationSink::new(format, &known, BalancerHandle::new(tx), metrics.clone());
        Self {
            table: FollowedTable::new(platform::CONFIGURATION_TABLE, Rc::new(sink)),
            rx,
            metrics,
            in_force: BTreeSet::new(),
            reverted: Vec::new(),
        }
    }

    fn receive(&mut self) {
        while let Ok(msg) = self.rx.try_recv() {
            let BalancerMessage::SetEvacuations(evacuations) = msg else {
                panic!("unexpected message");
            };
            self.in_force = evacuations.in_force;
            self.reverted.extend(evacuations.reverted);
        }
    }

    fn names(&self) -> Vec<&str> {
        self.in_force.iter().map(|name| &**name).collect()
    }
}

/// Guards against rows that are lost, misread, or that disable the evacuation by a corrupt value.
#[test]
fn only_the_keys_of_the_rows_decide_which_data_centres_are_evacuated() {
    struct Case {
        name: &'static str,
        read: &'static [(&'static str, &'static str)],
        changes: &'static [(&'static str, Option<&'static str>)],
        in_force: &'static [&'static str],
        reverted: usize,
        invalid: u64,
    }
    let cases = [
        Case {
            name: "no row",
            read: &[("config", "{}")],
            changes: &[],
            in_force: &[],
            reverted: 0,
            invalid: 0,
        },
        Case {
            name: "row in the first read",
            read: &[("config", "{}"), ("evacuate/a", "{}")],
            changes: &[],
            in_force: &["a"],
            reverted: 0,
            invalid: 0,
        },
        Case {
            name: "row written, then written again",
            read: &[],
            changes: &[("evacuate/a", Some("{}")), ("evacuate/a", Some("{}"))],
            in_force: &["a"],
            reverted: 0,
            invalid: 0,
        },
        Case {
            name: "row removed",
            read: &[("evacuate/a", "{}"), ("evacuate/b", "{}")],
            changes: &[("evacuate/a", None)],
            in_force: &["b"],
            reverted: 1,
            invalid: 0,
        },
        Case {
            name: "removal of a row that was never read",
            read: &[],
            changes: &[("evacuate/a", None)],
            in_force: &[],
            reverted: 1,
            invalid: 0,
        },
        Case {
            name: "removed and written again",
            read: &[("evacuate/a", "{}")],
            changes: &[("evacuate/a", None), ("evacuate/a", Some("{}"))],
            in_force: &["a"],
            reverted: 1,
            invalid: 0,
        },
        Case {
            name: "corrupt values",
            read: &[("evacuate/a", "\u{0}{")],
            changes: &[("evacuate/b", Some("[]"))],
            in_force: &["a", "b"],
            reverted: 0,
            invalid: 2,
        },
        Case {
            name: "unknown data centre, which is in force",
            read: &[],
            changes: &[("evacuate/elsewhere", Some("{}"))],
            in_force: &["elsewhere"],
            reverted: 0,
            invalid: 1,
        },
        Case {
            name: "empty name, and keys of other rows",
            read: &[
                ("evacuate/", "{}"),
                ("evacuate", "{}"),
                ("Evacuate/a", "{}"),
            ],
            changes: &[("evacuated/a", Some("{}"))],
            in_force: &[],
            reverted: 0,
            invalid: 1,
        },
    ];
    for case in &cases {
        let mut copy = Copy::new();
        let read = case
            .read
            .iter()
            .map(|(key, value)| row(key, Some(value), 1));
        copy.table.replace(read.collect(), 5, at(0));
        for (i, (key, value)) in case.changes.iter().enumerate() {
            let version = 6 + i as u64;
            copy.table
                .apply(vec![row(key, *value, version)], version, at(1));
        }
        copy.receive();
        assert_eq!(copy.names(), case.in_force, "{}", case.name);
        assert_eq!(copy.reverted.len(), case.reverted, "{}", case.name);
        let invalid = counted(&copy.metrics, Counter::EvacuationRowsInvalid);
        assert_eq!(invalid, case.invalid, "{}: invalid rows", case.name);
    }
}

/// Guards against a daemon that learns of a removal by a full read only and keeps the evacuation.
#[test]
fn row_that_is_missing_from_a_full_read_is_a_reversal_of_unknown_version() {
    let mut copy = Copy::new();
    copy.table
        .replace(vec![row("evacuate/a", Some("{}"), 1)], 5, at(0));
    copy.table.replace(Vec::new(), 9, at(1));
    copy.receive();
    assert!(copy.in_force.is_empty());
    let reversal = Reversal {
        data_centre: Rc::from("a"),
        version: None,
    };
    assert_eq!(copy.reverted, [reversal]);
}

/// Guards against a daemon that starts while the store is unreachable and misses the evacuation.
#[test]
fn copy_of_another_daemon_brings_the_evacuation() {
    let other = Copy::new();
    other.table.replace(Vec::new(), 5, at(0));
    other
        .table
        .apply(vec![row("evacuate/b", Some("{}"), 6)], 6, at(1));
    let mut started = Copy::new();
    let delta = other.table.delta_since(started.table.version());
    started.table.merge(delta.expect("a delta"), at(2));
    started.receive();
    assert_eq!(started.names(), ["b"]);
    other
        .table
        .apply(vec![row("evacuate/b", None, 7)], 7, at(3));
    let delta = other.table.delta_since(started.table.version());
    started.table.merge(delta.expect("a delta"), at(4));
    started.receive();
    assert!(started.in_force.is_empty());
    assert_eq!(started.reverted[0].version, Some(7));
}

/// Returns targets of the service `one`, alternating between the data centres `a` and `b`.
fn hosts(n: usize) -> Vec<ListedHost> {
    let host = |i: usize| ListedHost {
        name: format!("t{i}"),
        data_centre: if i % 2 == 0 { "a" } else { "b" }.to_owned(),
        address: format!("127.0.0.1:{}", 1000 + i)
            .parse()
            .expect("an address"),
        service: Some("one".to_owned()),
        slots: 2,
        leaving: false,
        cold: false,
        born: None,
    };
    (0..n).map(host).collect()
}

fn balancer(targets: usize, seed: u64) -> Balancer {
    let options = Profile::FewFalseEjections.options();
    let detector = Box::new(SequentialDetector::new(options));
    let mut balancer = Balancer::new(detector, 0.7, seed).prefer_data_centre("a");
    balancer.set_targets(&hosts(targets), at(0));
    balancer
}

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
        repeatable: true,
        deadline: at(60_000),
        avoid: Vec::new(),
    };
    for _ in 0..4 {
        let decision = scheduler.submit(request(), (), at(0)).expect("a decision");
        assert!(decision.res.is_ok());
    }
    assert!(scheduler.submit(request(), (), at(0)).is_none(), "queued");
    scheduler
        .balancer
        .set_evacuations(&evacuations(&["a", "b"], &[]), at(1));
    let decisions = scheduler.tick(at(20));
    assert_eq!(decisions.len(), 1);
    assert_eq!(decisions[0].res.as_ref().err(), Some(&PickError::NoTarget));
    let decision = scheduler.submit(request(), (), at(21)).expect("a decision");
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
