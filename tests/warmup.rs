//! Limits of cold targets: how daemons share them, when a target counts as cold, and a simulated
//! fleet before which a data centre returns cold from an evacuation.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use chervillug::{
    clock::BootTime,
    health::{
        Balancer, Choice, EntryWarmup, Evacuations, FleetShare, LimitNews, PickError, PickRequest,
        Profile, Reversal, SequentialDetector, ServiceWarmup, TargetThrottle, WarmupState,
        WarmupTerms, WarmupTolerance,
    },
    platform,
    store::ListedHost,
};

/// The operator's tolerance of today's deployments.
const TOLERANCE: WarmupTolerance = WarmupTolerance {
    over: 1.5,
    slack: 8.0,
};
/// Rate of the simulated service.
const RATE_PER_S: f64 = 6.7;
/// Warm-up of the simulated service.
const WARMUP: Duration = Duration::from_secs(12);

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
}

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn terms(rate_per_s: f64, tolerance: WarmupTolerance) -> WarmupTerms {
    let duration = WARMUP;
    WarmupTerms::new(
        ServiceWarmup {
            duration,
            rate_per_s,
        },
        tolerance,
    )
}

/// Guards against a number of selected daemons that may send more than the operator's limit
/// together, with one more daemon than selected.
#[test]
fn selected_daemons_stay_below_the_limit_with_one_to_spare() {
    struct Case {
        rate_per_s: f64,
        over: f64,
        slack: f64,
        daemons: usize,
        shared_rate_per_s: f64,
    }
    let cases = [
        Case {
            rate_per_s: 6.7,
            over: 1.5,
            slack: 8.0,
            daemons: 10,
            shared_rate_per_s: 6.7,
        },
        Case {
            rate_per_s: 0.5,
            over: 1.5,
            slack: 8.0,
            daemons: 7,
            shared_rate_per_s: 0.5,
        },
        Case {
            rate_per_s: 100.0,
            over: 1.5,
            slack: 8.0,
            daemons: 56,
            shared_rate_per_s: 100.0,
        },
        Case {
            rate_per_s: 4.0,
            over: 1.0,
            slack: 2.0,
            daemons: 1,
            shared_rate_per_s: 3.99,
        },
        Case {
            rate_per_s: 1.0,
            over: 1.0,
            slack: 0.0,
            daemons: 1,
            shared_rate_per_s: 0.0,
        },
    ];
    for case in &cases {
        let tolerance = WarmupTolerance {
            over: case.over,
            slack: case.slack,
        };
        let terms = terms(case.rate_per_s, tolerance);
        assert_eq!(terms.daemons, case.daemons, "{} 1/s", case.rate_per_s);
        let difference = (terms.rate_per_s - case.shared_rate_per_s).abs();
        assert!(difference < 1e-6, "{terms:?}");
        let limit = tolerance.max_per_s(case.rate_per_s);
        let most = (terms.daemons + 1) as f64 + terms.rate_per_s;
        assert!(terms.rate_per_s == 0.0 || most < limit, "{terms:?}");
    }
}

/// Guards against a daemon that sends more than its part because it is restarted, selected again,
/// or does not know the members yet.
#[test]
fn part_of_a_daemon_begins_without_a_token() {
    let terms = terms(RATE_PER_S, TOLERANCE);
    let mut throttle = TargetThrottle::default();
    assert!(throttle.set_warmup(at(60_000), terms, at(0)));
    assert!(!throttle.set_warmup(at(60_000), terms, at(0)), "not new");
    throttle.set_warmup_share(FleetShare::UNKNOWN, at(0));
    assert!(!throttle.has_warmup_share(at(50_000)));
    assert!(!throttle.wait(at(50_000)).is_zero(), "members not known");
    let share = FleetShare {
        rank: 9,
        daemons: 119,
    };
    throttle.set_warmup_share(share, at(50_000));
    let first = throttle.wait(at(50_000));
    assert!(first > Duration::from_millis(1400), "{first:?}");
    assert!(throttle.wait(at(51_500)).is_zero());
    let not_selected = FleetShare {
        rank: 10,
        daemons: 119,
    };
    throttle.set_warmup_share(not_selected, at(51_500));
    assert!(
        !throttle.wait(at(51_500)).is_zero(),
        "not selected any more"
    );
    throttle.set_warmup_share(share, at(51_500));
    assert!(!throttle.wait(at(51_500)).is_zero(), "selected again");
    assert!(throttle.wait(at(60_000)).is_zero(), "not cold any more");
}

/// Guards against tokens that are lent by a daemon that does not know that the target is cold, or
/// that ignore one of two limits.
#[test]
fn token_of_a_cold_target_is_lent_only_if_all_limits_allow_it() {
    struct Case {
        name: &'static str,
        is_cold_here: bool,
        is_limited_here: bool,
        borrower_knows: bool,
        is_lent: bool,
    }
    let case = |name, is_cold_here, is_limited_here, borrower_knows, is_lent| Case {
        name,
        is_cold_here,
        is_limited_here,
        borrower_knows,
        is_lent,
    };
    let cases = [
        case("no limit", false, false, false, false),
        case("cold, known to both", true, false, true, true),
        case("cold, known here", true, false, false, true),
        case("cold, not known here", false, false, true, false),
        case(
            "cold, not known here, and limited",
            false,
            true,
            true,
            false,
        ),
        case("limited", false, true, false, true),
        case("cold and limited", true, true, true, true),
    ];
    for case in &cases {
        let mut throttle = TargetThrottle::default();
        if case.is_cold_here {
            throttle.set_warmup(at(60_000), terms(RATE_PER_S, TOLERANCE), at(0));
            throttle.set_warmup_share(FleetShare::ALONE, at(0));
        }
        if case.is_limited_here {
            throttle.apply_news(LimitNews::Named(5.0), FleetShare::ALONE, 0.0, at(0));
        }
        let lent = throttle.lend(case.borrower_knows, at(2000));
        assert_eq!(lent, case.is_lent, "{}", case.name);
        assert!(
            !throttle.lend(true, at(2000)),
            "{}: a second one",
            case.name
        );
    }
}

enum News {
    /// An entry of this version that states this time, s.
    Entry(u64, u64),
    /// A response to a probe that states this time, s.
    Probe(u64),
    /// The end of an evacuation, with its version.
    Return(Option<u64>),
}

/// Guards against targets that count as warm while they are cold, or as cold for good.
#[test]
fn target_counts_as_cold_until_its_own_newer_statement() {
    struct Case {
        name: &'static str,
        unverified: bool,
        /// Time of each news, ms.
        news: &'static [(u64, News)],
        /// End of the warm-up, ms.
        cold_until: Option<u64>,
    }
    let cases = [
        Case {
            name: "nothing known",
            unverified: false,
            news: &[],
            cold_until: None,
        },
        Case {
            name: "entry states a warm-up; the same entry read again adds nothing",
            unverified: false,
            news: &[(0, News::Entry(5, 10)), (4000, News::Entry(5, 10))],
            cold_until: Some(10_000),
        },
        Case {
            name: "entry written again at an older version, as after a rollback of the store",
            unverified: false,
            news: &[(0, News::Entry(5, 0)), (4000, News::Entry(3, 10))],
            cold_until: Some(14_000),
        },
        Case {
            name: "probe outlasts an entry",
            unverified: false,
            news: &[(0, News::Probe(8)), (1000, News::Entry(6, 0))],
            cold_until: Some(8000),
        },
        Case {
            name: "return from an evacuation",
            unverified: false,
            news: &[(0, News::Entry(5, 0)), (1000, News::Return(Some(7)))],
            cold_until: Some(13_000),
        },
        Case {
            name: "entry written before the return",
            unverified: false,
            news: &[(1000, News::Return(Some(7))), (2000, News::Entry(6, 0))],
            cold_until: Some(13_000),
        },
        Case {
            name: "entry written after the return, warm",
            unverified: false,
            news: &[(1000, News::Return(Some(7))), (2000, News::Entry(8, 0))],
            cold_until: None,
        },
        Case {
            name: "entry written after the return, cold for longer",
            unverified: false,
            news: &[(1000, News::Return(Some(7))), (2000, News::Entry(8, 20))],
            cold_until: Some(22_000),
        },
        Case {
            name: "return at an unknown version ends by time only",
            unverified: false,
            news: &[(1000, News::Return(None)), (2000, News::Entry(8, 0))],
            cold_until: Some(13_000),
        },
        Case {
            name: "probe does not end the doubt after a return",
            unverified: false,
            news: &[(1000, News::Return(Some(7))), (2000, News::Probe(0))],
            cold_until: Some(13_000),
        },
        Case {
            name: "first list after the start of the daemon",
            unverified: true,
            news: &[(0, News::Entry(5, 0)), (500, News::Entry(5, 0))],
            cold_until: Some(12_000),
        },
        Case {
            name: "verified by a probe",
            unverified: true,
            news: &[(0, News::Entry(5, 0)), (500, News::Probe(0))],
            cold_until: None,
        },
        Case {
            name: "found cold by a probe",
            unverified: true,
            news: &[(0, News::Entry(5, 0)), (500, News::Probe(30))],
            cold_until: Some(30_500),
        },
        Case {
            name: "verified by a second entry",
            unverified: true,
            news: &[(0, News::Entry(5, 0)), (500, News::Entry(6, 0))],
            cold_until: None,
        },
    ];
    for case in &cases {
        let mut state = WarmupState::default();
        if case.unverified {
            state = WarmupState::unverified(at(0));
        }
        for (ms, news) in case.news {
            match news {
                News::Entry(version, s) => state.record_entry(*version, secs(*s), at(*ms)),
                News::Probe(s) => state.record_probe(secs(*s), at(*ms)),
                News::Return(version) => state.record_return(*version, at(*ms)),
            }
        }
        let expected = case.cold_until.map(at);
        assert_eq!(state.cold_until(WARMUP), expected, "{}", case.name);
    }
}

/// Guards against configurations that set a limit that the operator did not ask for, or none.
#[test]
fn limits_are_read_from_the_configuration_and_entries() {
    let config = |fields: &str| {
        let text = format!(
            r#"{{"version": "01", "routes": {{}}, "services": {{"one": {{"healthPath": "/h"{fields}}}}}}}"#
        );
        let config = platform::decode_configuration(text.as_bytes()).expect("valid");
        config.services[0].warmup
    };
    let limit = ServiceWarmup {
        duration: Duration::from_secs(20),
        rate_per_s: 6.7,
    };
    assert_eq!(config(r#", "warmupS": 20, "warmupPerS": 6.7"#), Some(limit));
    for fields in [
        "",
        r#", "warmupS": 20"#,
        r#", "warmupPerS": 6.7"#,
        r#", "warmupS": 0, "warmupPerS": 6.7"#,
        r#", "warmupS": -1, "warmupPerS": 6.7"#,
    ] {
        assert_eq!(config(fields), None, "{fields}");
    }
    assert!(config(r#", "warmupS": 1e300, "warmupPerS": 1"#).is_some());
    let left = |text: &str| platform::decode_entry_warmup(text.as_bytes());
    assert_eq!(left(r#"{"warmupLeftS": 2.5}"#), Duration::from_millis(2500));
    for text in [r#"{"warmupLeftS": -1}"#, "{}", "x"] {
        assert_eq!(left(text), Duration::ZERO, "{text}");
    }
    assert_eq!(left(r#"{"warmupLeftS": 1e300}"#), Duration::MAX);
}

fn hosts(n: usize, cold_data_centre: usize) -> Vec<ListedHost> {
    let host = |i: usize| ListedHost {
        name: format!("t{i}"),
        data_centre: if i < cold_data_centre { "b" } else { "a" }.to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        service: Some("one".to_owned()),
        slots: 2,
        leaving: false,
        cold: false,
        born: None,
    };
    (0..n).map(host).collect()
}

fn balancer(seed: u64, targets: usize, cold_data_centre: usize) -> Balancer {
    let options = Profile::FewFalseEjections.options();
    let mut balancer = Balancer::new(Box::new(SequentialDetector::new(options)), 0.7, seed);
    let terms = BTreeMap::from([(Rc::from("one"), terms(RATE_PER_S, TOLERANCE))]);
    balancer.set_warmup_terms(terms, at(0));
    balancer.set_targets(&hosts(targets, cold_data_centre), at(0));
    balancer
}

const ONE: PickRequest<'static> = PickRequest {
    service: "one",
    avoid: &[],
    repeatable: true,
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

/// Daemons of the simulated fleet.
const DAEMONS: usize = 119;
/// Targets of the data centre that is evacuated.
const COLD: usize = 30;
/// Time of the evacuation, of its end, and of the end of the simulation, ms.
const EVACUATED_AT: u64 = 2000;
const RETURNED_AT: u64 = 6000;
const END: u64 = 24_000;
/// Time that a request takes, ms.
const REQUEST_MS: u64 = 80;
/// Time until a token of another daemon arrives, ms.
const LEND_MS: u64 = 10;

#[derive(Clone, Copy, PartialEq)]
enum Disturbance {
    None,
    /// A third of the daemons learns nothing and reaches nobody from the evacuation until 3 s after
    /// its end.
    Partition,
    /// A third of the daemons restarts, one after the other, around the return.
    Restart,
    /// A third of the daemons is suspended for 3 s around the return.
    Suspension,
}

struct Sim {
    daemons: Vec<Balancer>,
    names: Vec<String>,
    rng: fastrand::Rng,
    disturbance: Disturbance,
    suspended: BTreeSet<usize>,
    running: BTreeMap<u64, Vec<(usize, Choice)>>,
    /// Requests for which a token was asked for, by the time at which it arrives.
    granted: BTreeMap<u64, Vec<(usize, Choice)>>,
    arrivals: BTreeMap<usize, Vec<u64>>,
    sent: usize,
    served: usize,
    throttled: usize,
    busy: usize,
}

impl Sim {
    fn new(seed: u64, targets: usize, disturbance: Disturbance) -> Self {
        let daemon = |i: usize| balancer(seed * 1000 + i as u64, targets, COLD);
        let mut sim = Self {
            daemons: (0..DAEMONS).map(daemon).collect(),
            names: (0..DAEMONS).map(|i| format!("host-{i}")).collect(),
            rng: fastrand::Rng::with_seed(seed),
            disturbance,
            suspended: BTreeSet::new(),
            running: BTreeMap::new(),
            granted: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            sent: 0,
            served: 0,
            throttled: 0,
            busy: 0,
        };
        for i in 0..DAEMONS {
            sim.verify(i, 0);
        }
        sim
    }

    /// Completes the probes of a daemon after its start.
    fn verify(&mut self, i: usize, now: u64) {
        let is_cold = |name: &str| name[1..].parse::<usize>().is_ok_and(|n| n < COLD);
        loop {
            let probes = self.daemons[i].targets_to_probe(at(now));
            if probes.is_empty() {
                break;
            }
            for (id, _) in probes {
                let name = self.daemons[i].target(id).expect("the target").name.clone();
                let end = RETURNED_AT + WARMUP.as_millis() as u64;
                let cold = is_cold(&name) && (EVACUATED_AT..end).contains(&now);
                let left = if cold { end - now } else { 0 };
                self.daemons[i].record_probe_warmup(id, Some(Duration::from_millis(left)), at(now));
            }
        }
    }

    fn is_disturbed(&self, i: usize) -> bool {
        i % 3 == 0 && self.disturbance != Disturbance::None
    }

    fn is_cut(&self, i: usize, now: u64) -> bool {
        let cut = EVACUATED_AT + 1500..RETURNED_AT + 3000;
        self.disturbance == Disturbance::Partition && self.is_disturbed(i) && cut.contains(&now)
    }

    fn update_shares(&mut self, i: usize, now: u64) {
        for (id, target) in self.daemons[i].take_shares_needed() {
            let others = self.names.iter().map(String::as_str);
            let share = FleetShare::new(&self.names[i], others, &target);
            self.daemons[i].set_warmup_share(id, share, at(now));
        }
    }

    fn set_evacuated(&mut self, i: usize, in_force: bool, now: u64) {
        let b: Rc<str> = Rc::from("b");
        let reverted = Reversal {
            data_centre: b.clone(),
            version: Some(50),
        };
        let evacuations = Evacuations {
            in_force: in_force.then(|| b.clone()).into_iter().collect(),
            reverted: (!in_force).then_some(reverted).into_iter().collect(),
        };
        self.daemons[i].set_evacuations(&evacuations, at(now));
    }

    /// Applies what the daemon learns at `now`, up to 1 s after it happened.
    fn learn(&mut self, i: usize, now: u64) {
        let delay = 200 + (i as u64 * 37) % 800;
        if now == EVACUATED_AT + delay {
            self.set_evacuated(i, true, now);
        }
        let learns_late = self.disturbance == Disturbance::Partition && self.is_disturbed(i);
        let return_learned = RETURNED_AT + delay + if learns_late { 3000 } else { 0 };
        if now == return_learned {
            self.set_evacuated(i, false, now);
        }
        // The targets write 2 s after the return how long they are cold.
        if now == return_learned + 2000 {
            let left = Duration::from_millis((RETURNED_AT + 12_000).saturating_sub(now));
            let entry = |n: usize| EntryWarmup {
                target: format!("t{n}"),
                version: 60,
                left,
            };
            let entries: Vec<EntryWarmup> = (0..COLD).map(entry).collect();
            self.daemons[i].record_entries(&entries, at(now));
        }
    }

    fn disturb(&mut self, i: usize, now: u64) {
        let restart_at = RETURNED_AT - 500 + (i as u64 / 3) * 80;
        if self.disturbance == Disturbance::Restart && self.is_disturbed(i) && now == restart_at {
            let targets = self.daemons[i].targets(at(now)).count();
            self.daemons[i] = balancer(now + i as u64, targets, COLD);
            // The list and the entries are older than the return.
            for running in self.running.values_mut().chain(self.granted.values_mut()) {
                running.retain(|(owner, _)| *owner != i);
            }
            let hosts = hosts(targets, COLD);
            self.daemons[i].set_targets(&hosts, at(now));
            if now < RETURNED_AT {
                self.set_evacuated(i, true, now);
            }
            self.update_shares(i, now);
        }
        // The probes take 300 ms.
        if self.disturbance == Disturbance::Restart
            && self.is_disturbed(i)
            && now == restart_at + 300
        {
            self.verify(i, now);
        }
        if self.disturbance == Disturbance::Suspension && self.is_disturbed(i) {
            if now == RETURNED_AT + 1500 + i as u64 {
                self.suspended.insert(i);
            } else if now == RETURNED_AT + 4500 {
                self.suspended.remove(&i);
            }
        }
    }

    fn arrive(&mut self, i: usize, choice: Choice, now: u64) {
        if choice.send_by.is_some_and(|end| at(now) > end) {
            self.daemons[i].release(choice.id, choice.attempt);
            self.throttled += 1;
            return;
        }
        let target: usize = choice.name[1..].parse().expect("a number");
        self.arrivals.entry(target).or_default().push(now);
        self.served += 1;
        let end = self.running.entry(now + REQUEST_MS).or_default();
        end.push((i, choice));
    }

    fn send(&mut self, i: usize, now: u64) {
        self.sent += 1;
        match self.daemons[i].pick(&ONE, at(now)) {
            Ok(choice) => {
                // Opening a connection takes up to 60 ms.
                let due = now + 1 + self.rng.u64(0..60);
                self.granted.entry(due).or_default().push((i, choice));
            }
            Err(PickError::Throttled(_)) => self.borrow(i, now),
            Err(PickError::Busy) => self.busy += 1,
            Err(e) => panic!("{e:?}"),
        }
    }

    fn borrow(&mut self, i: usize, now: u64) {
        let targets = self.daemons[i].borrowable_targets("one", &[], at(now));
        let mut names: Vec<_> = targets
            .iter()
            .map(|(t, _)| (t.id, t.name.clone()))
            .collect();
        self.rng.shuffle(&mut names);
        let count = terms(RATE_PER_S, TOLERANCE).daemons;
        for (id, name) in names.into_iter().take(2) {
            let hosts = self.names.iter().map(String::as_str);
            let lenders = FleetShare::first(hosts, &name, count);
            let lender = lenders[self.rng.usize(0..lenders.len())];
            let lender: usize = lender[5..].parse().expect("a number");
            let is_reached = lender != i
                && !self.is_cut(i, now)
                && !self.is_cut(lender, now)
                && !self.suspended.contains(&lender);
            if is_reached && self.daemons[lender].lend_token(&name, true, at(now)) {
                let Some(choice) = self.daemons[i].start_granted(id, at(now)) else {
                    break;
                };
                let due = now + LEND_MS;
                self.granted.entry(due).or_default().push((i, choice));
                return;
            }
        }
        self.throttled += 1;
    }

    fn run(&mut self, rate_per_s: f64) {
        for now in 0..END {
            for (i, choice) in self.running.remove(&now).unwrap_or_default() {
                self.daemons[i].release(choice.id, choice.attempt);
            }
            for i in 0..DAEMONS {
                self.disturb(i, now);
                self.learn(i, now);
                self.update_shares(i, now);
            }
            for (i, choice) in self.granted.remove(&now).unwrap_or_default() {
                if self.suspended.contains(&i) {
                    self.granted
                        .entry(RETURNED_AT + 4500)
                        .or_default()
                        .push((i, choice));
                } else {
                    self.arrive(i, choice, now);
                }
            }
            let mut due = rate_per_s / 1000.0;
            while due > 0.0 {
                let i = self.rng.usize(0..DAEMONS);
                if self.rng.f64() < due && !self.suspended.contains(&i) {
                    self.send(i, now);
                }
                due -= 1.0;
            }
        }
    }

    /// Returns the most arrivals in one second at a cold target while it is cold.
    fn most_per_s(&self) -> usize {
        let cold = EVACUATED_AT + 1100..RETURNED_AT + 12_000;
        let mut most = 0;
        for target in 0..COLD {
            let all = self.arrivals.get(&target).map_or(&[][..], Vec::as_slice);
            let times: Vec<u64> = all.iter().copied().filter(|ms| cold.contains(ms)).collect();
            for from in &times {
                let span = *from..*from + 1000;
                most = most.max(times.iter().filter(|ms| span.contains(ms)).count());
            }
        }
        most
    }

    fn arrivals_in(&self, span: std::ops::Range<u64>) -> usize {
        let cold = self.arrivals.iter().filter(|(target, _)| **target < COLD);
        cold.flat_map(|(_, times)| times)
            .filter(|ms| span.contains(ms))
            .count()
    }
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
        case("full load", Disturbance::None, 60, 2400.0, 0.5, 0.0),
        case(
            "full load, partition",
            Disturbance::Partition,
            60,
            2400.0,
            0.5,
            0.0,
        ),
        case(
            "full load, restarts",
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
