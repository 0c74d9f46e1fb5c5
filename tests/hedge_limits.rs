//! Hedged requests of one service: delay, limit, and what they do to latencies and load.

mod hedge_fixture;

use std::{collections::VecDeque, rc::Rc, time::Duration};

use chervillug::{
    clock::BootTime,
    retry::{
        Hedge, HedgeAction, HedgeConditions, HedgeEvent, HedgeLimit, RetryBudget,
        RetryBudgetConfig, ServiceHedging,
    },
};

use hedge_fixture::{ALLOWED, GOOD};

/// Window over which the limit holds.
const WINDOW: Duration = Duration::from_secs(10);
const ROUTE: &str = "shop.example/one/";
/// A share of second attempts as operators set it.
const SHARE: f64 = 0.05;

fn at(s: f64) -> BootTime {
    BootTime::default() + Duration::from_secs_f64(s)
}

/// Reference for the limit, which keeps the time of each event.
#[derive(Default)]
struct History {
    requests: VecDeque<BootTime>,
    hedges: VecDeque<BootTime>,
}

fn within(times: &VecDeque<BootTime>, now: BootTime, window: Duration) -> usize {
    times
        .iter()
        .rev()
        .filter(|t| now.since(**t) < window)
        .count()
}

/// Guards against second attempts above the limit in a window that ends with one of them, also when
/// the daemon restarts, is suspended, or gets less load than before.
#[test]
fn limit_holds_over_random_histories() {
    let mut sent = 0;
    for seed in 0..10_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let share = 0.2 * (1.0 - rng.f64());
        let mut now_s = rng.f64() * 100.0;
        let mut limit = HedgeLimit::new(share, at(now_s));
        let mut history = History::default();
        let mut mean_gap_s = 0.01;
        for _ in 0..300 {
            if rng.u32(0..40) == 0 {
                mean_gap_s = 0.001 * 1000f64.powf(rng.f64());
            }
            if rng.u32(0..150) == 0 {
                // The daemon restarts and forgets what it counted.
                limit = HedgeLimit::new(share, at(now_s));
            }
            now_s += mean_gap_s * 2.0 * rng.f64();
            if rng.u32(0..200) == 0 {
                now_s += 15.0 * rng.f64();
            }
            let now = at(now_s);
            limit.record_request(now);
            history.requests.push_back(now);
            if rng.bool() && limit.try_take(now) {
                history.hedges.push_back(now);
                sent += 1;
                let requests = within(&history.requests, now, WINDOW) as f64;
                let hedges = within(&history.hedges, now, WINDOW) as f64;
                assert!(
                    hedges <= share * requests + 1e-6,
                    "seed {seed}: {hedges} of {requests} at {now_s} s, share {share}"
                );
            }
        }
    }
    println!("{sent} second attempts in 10,000 histories");
    assert!(sent > 10_000, "the limit leaves nothing: {sent}");
}

/// Guards against a limit that leaves less than the share at a constant rate.
#[test]
fn limit_leaves_most_of_the_share_at_a_constant_rate() {
    let mut limit = HedgeLimit::new(SHARE, at(0.0));
    let mut hedges = 0;
    for n in 0..10_000 {
        let now = at(f64::from(n) * 0.02);
        limit.record_request(now);
        hedges += u32::from(limit.try_take(now));
    }
    println!("{hedges} second attempts for 10,000 requests");
    assert!((400..=500).contains(&hedges), "{hedges}");
}

struct BudgetCase {
    max_tokens: f64,
    withdrawn: u32,
    is_low: bool,
}

/// Guards against hedged requests that leave no token for a retry after a failure.
#[test]
fn budget_is_low_without_a_token_for_a_retry() {
    let cases = [
        BudgetCase {
            max_tokens: 10.0,
            withdrawn: 5,
            is_low: false,
        },
        BudgetCase {
            max_tokens: 10.0,
            withdrawn: 6,
            is_low: true,
        },
        BudgetCase {
            max_tokens: 2.0,
            withdrawn: 0,
            is_low: false,
        },
        BudgetCase {
            max_tokens: 2.0,
            withdrawn: 1,
            is_low: true,
        },
        BudgetCase {
            max_tokens: 1.18,
            withdrawn: 0,
            is_low: false,
        },
        BudgetCase {
            max_tokens: 1.18,
            withdrawn: 1,
            is_low: true,
        },
    ];
    for case in &cases {
        let cfg = RetryBudgetConfig {
            max_tokens: case.max_tokens,
            floor_per_s: 0.0,
            ..RetryBudgetConfig::default()
        };
        let mut budget = RetryBudget::new(cfg, at(0.0));
        for _ in 0..case.withdrawn {
            assert!(budget.try_withdraw(at(0.0)));
        }
        let name = format!("{} of {}", case.withdrawn, case.max_tokens);
        assert_eq!(budget.is_low(at(0.0)), case.is_low, "{name}");
    }
}

/// A simulated daemon before one service.
struct Simulation {
    hedging: ServiceHedging,
    route: Rc<str>,
    rng: fastrand::Rng,
    now_s: f64,
    is_hedging: bool,
    requests: u32,
    extra: u32,
    latencies: Vec<Duration>,
}

impl Simulation {
    fn new(seed: u64, is_hedging: bool) -> Self {
        Self {
            hedging: ServiceHedging::new(SHARE, at(0.0)),
            route: Rc::from(ROUTE),
            rng: fastrand::Rng::with_seed(seed),
            now_s: 0.0,
            is_hedging,
            requests: 0,
            extra: 0,
            latencies: Vec::new(),
        }
    }

    /// Sends `count` requests at 100 per second; `latency` returns the time that an attempt takes.
    fn run(&mut self, count: u32, latency: impl Fn(&mut fastrand::Rng) -> Duration) {
        for _ in 0..count {
            self.now_s += 0.01;
            let now = at(self.now_s);
            self.requests += 1;
            self.hedging.record_request(now);
            let first = latency(&mut self.rng);
            let took = self.attempt_second(first, &latency, now);
            // Recorded on arrival instead of at the end, which does not change the order much.
            self.hedging.record_latency(&self.route, took, now);
            self.latencies.push(took);
        }
    }

    fn attempt_second(
        &mut self,
        first: Duration,
        latency: impl Fn(&mut fastrand::Rng) -> Duration,
        now: BootTime,
    ) -> Duration {
        let Some(delay) = self.hedging.delay(ROUTE).filter(|_| self.is_hedging) else {
            return first;
        };
        self.hedging.record_late(first > delay);
        if first <= delay {
            return first;
        }
        let mut hedge = Hedge::new(&ALLOWED).expect("may be hedged");
        let conditions = HedgeConditions {
            is_service_slow: self.hedging.is_slow(ROUTE),
            usual_latency: self.hedging.usual_latency(ROUTE),
            has_room: self.hedging.has_room(now),
            ..GOOD
        };
        let action = hedge.step(HedgeEvent::DelayPassed(conditions));
        if action != Some(HedgeAction::PickSecond) || !self.hedging.try_take(now) {
            return first;
        }
        self.extra += 1;
        first.min(delay + latency(&mut self.rng))
    }

    fn quantile(&self, share: f64) -> Duration {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        sorted[(sorted.len() as f64 * share) as usize]
    }
}

fn usual(rng: &mut fastrand::Rng) -> Duration {
    Duration::from_micros(rng.u64(10_000..20_000))
}

fn with_slow_tail(rng: &mut fastrand::Rng) -> Duration {
    if rng.u32(0..100) == 0 {
        return Duration::from_secs(1);
    }
    usual(rng)
}

/// Guards against a delay that comes too late or a limit that is spent on requests that are not
/// slow: a tail of 1% that takes 1 s must be cut.
#[test]
fn slow_tail_is_cut() {
    for seed in 0..20 {
        let mut without = Simulation::new(seed, false);
        without.run(10_000, with_slow_tail);
        let mut with = Simulation::new(seed, true);
        with.run(10_000, with_slow_tail);
        let (before, after) = (without.quantile(0.995), with.quantile(0.995));
        let extra = f64::from(with.extra) / f64::from(with.requests);
        println!("seed {seed}: p99.5 {before:?} -> {after:?}, {extra} extra");
        assert_eq!(before, Duration::from_secs(1));
        assert!(after < Duration::from_millis(100), "seed {seed}: {after:?}");
        assert!(
            extra <= 0.02,
            "seed {seed}: {extra} extra for a tail of 0.01"
        );
    }
}

struct SlowCase {
    name: &'static str,
    factor: u32,
    /// Requests for which the service stays slow.
    requests: u32,
}

/// Guards against extra load on a service that is slow as a whole: apart from the few requests from
/// which this is recognized, nothing is hedged.
#[test]
fn slow_service_gets_no_extra_load() {
    let cases = [
        SlowCase {
            name: "3 times slower for 60 s",
            factor: 3,
            requests: 6_000,
        },
        SlowCase {
            name: "10 times slower for 120 s",
            factor: 10,
            requests: 12_000,
        },
    ];
    for case in &cases {
        for seed in 0..20 {
            let mut sim = Simulation::new(seed, true);
            sim.run(2_000, with_slow_tail);
            let extra_before = sim.extra;
            let factor = case.factor;
            sim.run(case.requests, |rng| with_slow_tail(rng) * factor);
            let extra = sim.extra - extra_before;
            println!(
                "{}, seed {seed}: {extra} extra of {}",
                case.name, case.requests
            );
            assert!(extra <= 4, "{}, seed {seed}: {extra} extra", case.name);
            // It is hedged again once it is as fast as before.
            sim.run(1_000, usual);
            let extra_before = sim.extra;
            sim.run(5_000, with_slow_tail);
            assert!(sim.extra > extra_before, "{}, seed {seed}", case.name);
        }
    }
}

struct DelayCase {
    name: &'static str,
    factor: u32,
}

/// Guards against a delay that does not follow the latencies of the route.
#[test]
fn delay_follows_the_latencies() {
    let cases = [
        DelayCase {
            name: "fast",
            factor: 1,
        },
        DelayCase {
            name: "slow",
            factor: 20,
        },
    ];
    for case in &cases {
        let mut hedging = ServiceHedging::new(SHARE, at(0.0));
        let route = Rc::from(ROUTE);
        for n in 1..=128u32 {
            if n <= 31 {
                assert_eq!(hedging.delay(ROUTE), None, "{}: after {n}", case.name);
            }
            let latency = Duration::from_millis(u64::from(n)) * case.factor;
            hedging.record_latency(&route, latency, at(f64::from(n) * 0.1));
        }
        // The median is 65 ms and the 95th percentile 122 ms; the delay is 2 medians or more.
        let expected = Duration::from_millis(130) * case.factor;
        assert_eq!(hedging.delay(ROUTE), Some(expected), "{}", case.name);
        assert_eq!(hedging.delay("other.example/"), None);
    }
}

/// Guards against memory that grows with the number of routes.
#[test]
fn number_of_routes_is_bounded() {
    let mut hedging = ServiceHedging::new(SHARE, at(0.0));
    let route = |n: u32| -> Rc<str> { Rc::from(format!("r{n}").as_str()) };
    for n in 0..400 {
        for _ in 0..32 {
            hedging.record_latency(&route(n), Duration::from_millis(10), at(1.0));
        }
    }
    let known = (0..400).filter(|n| hedging.delay(&route(*n)).is_some());
    assert_eq!(known.count(), 256);
    for _ in 0..32 {
        hedging.record_latency(&route(400), Duration::from_millis(10), at(100.0));
    }
    assert!(hedging.delay("r400").is_some());
    assert!(hedging.delay("r0").is_none(), "unused routes make room");
}
