//! Limits that targets name on the requests of a whole fleet, kept by many daemons in virtual time.

use std::{collections::BTreeMap, time::Duration};

use chervillug::{
    clock::BootTime,
    health::{
        Balancer, FleetShare, LimitNews, Observation, PickError, PickRequest, Profile,
        SequentialDetector, WorkResult,
    },
    store::ListedHost,
};

/// Daemons of the fleet.
const DAEMONS: usize = 48;
/// Targets of the service, of which all but the last three name a limit.
const TARGETS: usize = 11;
/// Targets without a limit.
const UNLIMITED: usize = 3;
/// Time at which the targets begin to name their limits, ms.
const NAMED_AT: u64 = 2000;
/// Time from which the limits bind, ms.
const SETTLED_AT: u64 = NAMED_AT + 3000;
/// Time at which the targets stop naming their limits, ms.
const LIFTED_AT: u64 = 25_000;
/// End of a run, ms.
const END: u64 = 40_000;
/// Length of the window in which arrivals are counted, ms.
const WINDOW: u64 = 4000;
/// Time that a request takes, ms.
const REQUEST: u64 = 60;
/// Time until the other daemons hear of news, ms.
const NEWS_DELAY: u64 = 30;
/// Requests per second of the service.
const RATE_PER_S: f64 = 60.0;

#[derive(Default)]
struct Outages {
    /// Daemons that lose all state at this time, ms.
    restarted: BTreeMap<usize, u64>,
    /// Daemons that hear nothing of the others from this time on, ms.
    cut: BTreeMap<usize, u64>,
}

struct Fleet {
    daemons: Vec<Balancer>,
    limits: Vec<Option<f64>>,
    outages: Outages,
    rng: fastrand::Rng,
    /// Daemon and time of each request at each target.
    arrivals: Vec<Vec<(usize, u64)>>,
    /// News on their way, by the time at which they arrive.
    news: BTreeMap<u64, Vec<(usize, usize, LimitNews)>>,
    running: BTreeMap<u64, Vec<(usize, usize, chervillug::health::Choice)>>,
    throttled: usize,
    sent: usize,
}

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
}

fn target_name(target: usize) -> String {
    format!("t{target}")
}

fn host_name(daemon: usize) -> String {
    format!("host-{daemon}")
}

fn share(daemon: usize, target: usize) -> FleetShare {
    let hosts: Vec<String> = (0..DAEMONS).map(host_name).collect();
    let others = hosts.iter().map(String::as_str);
    FleetShare::new(&hosts[daemon], others, &target_name(target))
}

fn balancer(seed: u64) -> Balancer {
    let hosts: Vec<ListedHost> = (0..TARGETS)
        .map(|target| ListedHost {
            name: target_name(target),
            data_centre: "a".to_owned(),
            address: "127.0.0.1:80".parse().unwrap(),
            service: Some("one".to_owned()),
            slots: 4,
            leaving: false,
            cold: false,
            born: None,
        })
        .collect();
    let detector = Box::new(SequentialDetector::new(
        Profile::FewFalseEjections.options(),
    ));
    let mut balancer = Balancer::new(detector, 0.7, seed);
    balancer.set_targets(&hosts, at(0));
    balancer
}

impl Fleet {
    fn new(seed: u64, outages: Outages) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut limit = || Some(0.5 + 6.0 * rng.f64());
        let mut limits: Vec<Option<f64>> = (0..TARGETS - UNLIMITED).map(|_| limit()).collect();
        limits.resize(TARGETS, None);
        Self {
            daemons: (0..DAEMONS)
                .map(|i| balancer(seed * 1000 + i as u64))
                .collect(),
            limits,
            outages,
            rng,
            arrivals: vec![Vec::new(); TARGETS],
            news: BTreeMap::new(),
            running: BTreeMap::new(),
            throttled: 0,
            sent: 0,
        }
    }

    fn is_cut(&self, daemon: usize, now: u64) -> bool {
        self.outages
            .cut
            .get(&daemon)
            .is_some_and(|from| now >= *from)
    }

    fn spread(&mut self, from: usize, target: usize, news: LimitNews, now: u64) {
        for daemon in (0..DAEMONS).filter(|daemon| *daemon != from) {
            if !self.is_cut(from, now) && !self.is_cut(daemon, now) {
                let due = self.news.entry(now + NEWS_DELAY).or_default();
                due.push((daemon, target, news));
            }
        }
    }

    fn end_requests(&mut self, now: u64) {
        for (daemon, target, choice) in self.running.remove(&now).unwrap_or_default() {
            let named = (NAMED_AT..LIFTED_AT).contains(&now);
            let limit = self.limits[target].filter(|_| named);
            let balancer = &mut self.daemons[daemon];
            let obs = Observation {
                result: WorkResult::Success,
                latency: Duration::from_millis(REQUEST),
            };
            balancer.observe(choice.id, choice.attempt, &obs, at(now));
            balancer.release(choice.id, choice.attempt);
            let place = share(daemon, target);
            if let Some(news) = balancer.apply_named_limit(choice.id, limit, place, at(now)) {
                self.spread(daemon, target, news, now);
            }
        }
    }

    fn send(&mut self, now: u64) {
        let daemon = self.rng.usize(0..DAEMONS);
        let req = PickRequest {
            service: "one",
            avoid: &[],
            repeatable: true,
        };
        self.sent += 1;
        match self.daemons[daemon].pick(&req, at(now)) {
            Ok(choice) => {
                let target: usize = choice.name[1..].parse().unwrap();
                self.arrivals[target].push((daemon, now));
                let end = self.running.entry(now + REQUEST).or_default();
                end.push((daemon, target, choice));
            }
            Err(PickError::Throttled(wait)) => {
                assert!(
                    !wait.is_zero() && wait <= Duration::from_secs(15),
                    "{wait:?}"
                );
                self.throttled += 1;
            }
            Err(PickError::Busy) => {}
            Err(e) => panic!("{e:?}"),
        }
    }

    fn run(&mut self) {
        for now in 0..END {
            for (daemon, target, news) in self.news.remove(&now).unwrap_or_default() {
                let place = share(daemon, target);
                let name = target_name(target);
                self.daemons[daemon].apply_limit_news(&name, news, place, at(now));
            }
            self.end_requests(now);
            for daemon in 0..DAEMONS {
                if self.outages.restarted.get(&daemon) == Some(&now) {
                    self.daemons[daemon] = balancer(now + daemon as u64);
                    for running in self.running.values_mut() {
                        running.retain(|(owner, _, _)| *owner != daemon);
                    }
                }
            }
            if self.rng.f64() < RATE_PER_S / 1000.0 {
                self.send(now);
            }
        }
    }

    /// Returns the most arrivals in one window at a target from daemons without outages.
    fn most_in_window(&self, target: usize) -> usize {
        let is_counted = |daemon: &usize| {
            !self.outages.restarted.contains_key(daemon) && !self.outages.cut.contains_key(daemon)
        };
        let arrivals = self.arrivals[target].iter();
        let counted = arrivals.filter(|(daemon, _)| is_counted(daemon));
        let times: Vec<u64> = counted.map(|(_, ms)| *ms).collect();
        let in_window = |from: &u64| {
            let window = *from..*from + WINDOW;
            times.iter().filter(|ms| window.contains(ms)).count()
        };
        let from = times
            .iter()
            .filter(|ms| (SETTLED_AT..LIFTED_AT - WINDOW).contains(ms));
        from.map(in_window).max().unwrap_or(0)
    }

    fn arrivals_in(&self, target: usize, range: std::ops::Range<u64>) -> usize {
        let arrivals = self.arrivals[target].iter();
        arrivals.filter(|(_, ms)| range.contains(ms)).count()
    }
}

#[test]
fn fleet_keeps_to_named_limits_through_restarts_and_cuts() {
    for seed in 1..=10 {
        let cases = [
            Outages::default(),
            Outages {
                restarted: (0..16).map(|i| (i * 3, 8000 + i as u64 * 300)).collect(),
                cut: BTreeMap::new(),
            },
            Outages {
                restarted: BTreeMap::new(),
                cut: (0..16).map(|i| (i * 3, 7000)).collect(),
            },
        ];
        for (case, outages) in cases.into_iter().enumerate() {
            let mut fleet = Fleet::new(seed, outages);
            fleet.run();
            for (target, limit) in fleet.limits.iter().enumerate() {
                let Some(limit) = limit else { continue };
                let allowed = (1.5 * limit * WINDOW as f64 / 1000.0 + 5.0) as usize;
                let most = fleet.most_in_window(target);
                assert!(
                    most <= allowed,
                    "seed {seed}, case {case}: {most} at {target}, allowed {allowed} at {limit} 1/s"
                );
                let lifted = fleet.arrivals_in(target, END - 5000..END);
                assert!(
                    lifted >= 5,
                    "seed {seed}, case {case}: {lifted} after the limit"
                );
            }
        }
    }
}

#[test]
fn limit_below_one_request_in_its_window_is_not_forgotten() {
    for limit in [0.02, 0.05, 0.2] {
        let mut fleet = Fleet::new(1, Outages::default());
        fleet.limits[..TARGETS - UNLIMITED].fill(Some(limit));
        fleet.run();
        for target in 0..TARGETS - UNLIMITED {
            let most = fleet.most_in_window(target);
            let allowed = (1.5 * limit * WINDOW as f64 / 1000.0 + 5.0) as usize;
            assert!(
                most <= allowed,
                "{most} at {target}, allowed {allowed} at {limit} 1/s"
            );
        }
    }
}

/// Guards against waits without bound, on which a daemon ended, and against targets that one corrupt
/// response keeps out of use.
#[test]
fn limit_of_any_size_has_bounded_waits_and_ends() {
    /// Time within which a target gets a request again, in ms.
    const MAX_UNUSED: u64 = 65_000;
    let limits = [f64::MIN_POSITIVE, 1e-300, 1e-19, 1e-3, 0.1, 1e300, f64::MAX];
    for (limit, is_told) in limits
        .iter()
        .flat_map(|limit| [(*limit, true), (*limit, false)])
    {
        let mut balancer = balancer(1);
        for target in (0..TARGETS).filter(|_| is_told) {
            let (name, news) = (target_name(target), LimitNews::Named(limit));
            balancer.apply_limit_news(&name, news, FleetShare::ALONE, at(0));
        }
        let mut named = std::collections::BTreeSet::new();
        let mut picked_at = Vec::new();
        for ms in (1..=3 * MAX_UNUSED).step_by(100) {
            let req = PickRequest {
                service: "one",
                avoid: &[],
                repeatable: true,
            };
            match balancer.pick(&req, at(ms)) {
                Ok(choice) => {
                    balancer.release(choice.id, choice.attempt);
                    // Only the first response of a target is corrupt.
                    let is_corrupt = !is_told && named.insert(choice.name.clone());
                    let limit = is_corrupt.then_some(limit);
                    balancer.apply_named_limit(choice.id, limit, FleetShare::ALONE, at(ms));
                    picked_at.push(ms);
                }
                Err(PickError::Throttled(wait)) => {
                    assert!(wait <= Duration::from_secs(15), "{limit}: {wait:?}");
                }
                Err(e) => panic!("{limit}: {e:?}"),
            }
        }
        let is_used = |from| {
            picked_at
                .iter()
                .any(|ms| (from..from + MAX_UNUSED).contains(ms))
        };
        assert!(
            is_used(2000) && is_used(2 * MAX_UNUSED),
            "{limit}: {picked_at:?}"
        );
    }
}

#[test]
fn requests_go_to_targets_without_a_limit_while_these_have_room() {
    for seed in 1..=10 {
        let mut fleet = Fleet::new(seed, Outages::default());
        fleet.run();
        let refused = fleet.throttled as f64 / fleet.sent as f64;
        assert!(refused <= 0.01, "seed {seed}: {refused} refused");
    }
}

#[test]
fn share_of_a_limit_adds_up_to_the_limit() {
    struct Case {
        limit_per_s: f64,
        selected: usize,
    }
    let cases = [
        Case {
            limit_per_s: 0.1,
            selected: 3,
        },
        Case {
            limit_per_s: 1.0,
            selected: 4,
        },
        Case {
            limit_per_s: 10.0,
            selected: 15,
        },
        Case {
            limit_per_s: 1000.0,
            selected: DAEMONS,
        },
    ];
    for case in &cases {
        let rates = (0..DAEMONS).filter_map(|i| share(i, 0).rate_per_s(case.limit_per_s));
        let rates: Vec<f64> = rates.collect();
        assert_eq!(rates.len(), case.selected, "limit {}", case.limit_per_s);
        let sum: f64 = rates.iter().sum();
        assert!((sum - case.limit_per_s).abs() < 1e-6 * case.limit_per_s);
    }
}
