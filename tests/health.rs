//! The sequential detector ejects what is faulty, and nothing else.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    health::{
        log_likelihood_ratio, Detector, Observation, Profile, SequentialDetector, ServiceId,
        TargetId, WorkResult, BASELINE_HALF_LIFE, EVIDENCE_HALF_LIFE, FAULT_SHARES, SLOW_WEIGHT,
    },
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const PROFILES: [Profile; 2] = [Profile::FewFalseEjections, Profile::FastDetection];

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(ms))
}

/// How a target behaves.
#[derive(Clone, Copy)]
struct Behaviour {
    bad_share: f64,
    latency_ms: f64,
}

const HEALTHY: Behaviour = Behaviour {
    bad_share: 0.005,
    latency_ms: 20.0,
};

/// A service whose targets get work in turn, 10 ms apart.
struct Bench {
    detector: SequentialDetector,
    targets: Vec<Behaviour>,
    random: fastrand::Rng,
    ms: u64,
}

impl Bench {
    fn new(profile: Profile, count: u32, seed: u64) -> Self {
        let mut detector = SequentialDetector::new(profile.options());
        for i in 0..count {
            detector.add_target(TargetId(i), ServiceId(0));
        }
        Self {
            detector,
            targets: vec![HEALTHY; count as usize],
            random: fastrand::Rng::with_seed(seed),
            ms: 1000,
        }
    }

    /// Gives each target one piece of work.
    fn round(&mut self) {
        for i in 0..self.targets.len() {
            self.ms += 10;
            let target = self.targets[i];
            let bad = self.random.f64() < target.bad_share;
            let exponential = -(1.0 - self.random.f64()).ln();
            let latency = Duration::from_secs_f64(target.latency_ms * exponential / 1000.0);
            let id = TargetId(i as u32);
            let result = if bad {
                WorkResult::ServerError
            } else {
                WorkResult::Success
            };
            self.end_work(id, result, latency);
        }
    }

    /// Tells the detector of one piece of work as the balancer does: first that it is late, and
    /// how it ended only when it was not.
    fn end_work(&mut self, id: TargetId, result: WorkResult, latency: Duration) {
        let now = at(self.ms);
        let limit = self.detector.overdue_after(id, now);
        let limit = limit.unwrap_or(Duration::MAX);
        let silent = limit.saturating_mul(4);
        let results = if latency > silent {
            vec![WorkResult::Overdue, WorkResult::Silent]
        } else if latency > limit {
            vec![WorkResult::Overdue]
        } else {
            vec![result]
        };
        for result in results {
            self.detector
                .observe(id, &Observation { result, latency }, now);
        }
    }

    fn is_out(&self, i: u32) -> bool {
        self.detector.health(TargetId(i), at(self.ms)).suspicion >= 1.0
    }

    fn out(&self) -> usize {
        (0..self.targets.len() as u32)
            .filter(|i| self.is_out(*i))
            .count()
    }
}

#[test]
fn faulty_target_is_ejected_soon() {
    struct Case {
        name: &'static str,
        behaviour: Behaviour,
        /// Work at the target until its ejection, at most.
        most_work: usize,
    }
    let slow = Behaviour {
        latency_ms: 200.0,
        ..HEALTHY
    };
    let failing = |bad_share| Behaviour {
        bad_share,
        ..HEALTHY
    };
    let cases = [
        Case {
            name: "all fails",
            behaviour: failing(1.0),
            most_work: 8,
        },
        Case {
            name: "half fails",
            behaviour: failing(0.5),
            most_work: 60,
        },
        Case {
            name: "a fifth fails",
            behaviour: failing(0.2),
            most_work: 300,
        },
        Case {
            name: "ten times slower",
            behaviour: slow,
            most_work: 100,
        },
    ];
    for case in &cases {
        for (profile, seed) in PROFILES.iter().flat_map(|p| (0..20).map(move |s| (*p, s))) {
            let mut bench = Bench::new(profile, 6, seed);
            (0..200).for_each(|_| bench.round());
            bench.targets[0] = case.behaviour;
            let ejected = (1..=case.most_work).any(|_| {
                bench.round();
                bench.is_out(0)
            });
            assert!(ejected, "{}, {profile:?}, seed {seed}", case.name);
        }
    }
}

#[test]
fn what_all_siblings_show_ejects_none() {
    struct Case {
        name: &'static str,
        all: Behaviour,
    }
    let cases = [
        Case {
            name: "healthy noise",
            all: HEALTHY,
        },
        Case {
            name: "service fails",
            all: Behaviour {
                bad_share: 1.0,
                ..HEALTHY
            },
        },
        Case {
            name: "service half fails",
            all: Behaviour {
                bad_share: 0.5,
                ..HEALTHY
            },
        },
        Case {
            name: "service slow",
            all: Behaviour {
                latency_ms: 200.0,
                ..HEALTHY
            },
        },
    ];
    for case in &cases {
        for (profile, seed) in PROFILES.iter().flat_map(|p| (0..20).map(move |s| (*p, s))) {
            assert_none_out(case.name, case.all, profile, seed);
        }
    }
}

#[test]
fn probe_alone_brings_no_target_back() {
    let mut bench = Bench::new(Profile::FastDetection, 6, 1);
    (0..50).for_each(|_| bench.round());
    bench.targets[0].bad_share = 1.0;
    (0..8).for_each(|_| bench.round());
    assert!(bench.is_out(0));
    bench.ms += 3000;
    assert!(bench.detector.needs_probe(TargetId(0), at(bench.ms)));
    bench.detector.record_probe(TargetId(0), true, at(bench.ms));
    assert!(bench.is_out(0));
    let standing = bench.detector.health(TargetId(0), at(bench.ms));
    assert!(standing.on_trial);
    bench.round();
    assert!(!bench.detector.health(TargetId(0), at(bench.ms)).on_trial);
    bench.ms += 3000;
    let remembers = !bench.detector.needs_probe(TargetId(0), at(bench.ms));
    assert!(remembers, "the second ejection lasts longer than the first");
    bench.ms += 3000;
    bench.detector.record_probe(TargetId(0), true, at(bench.ms));
    bench.targets[0] = Behaviour {
        bad_share: 0.0,
        ..HEALTHY
    };
    (0..8).for_each(|_| bench.round());
    assert!(!bench.is_out(0), "work on trial brings the target back");
}

/// One piece of work of a random history.
#[derive(Debug, Clone, Copy)]
struct Work {
    target: u32,
    /// Fails when it is below the target's share of failures, in 256ths.
    roll: u8,
    latency_ms: u64,
    gap_ms: u64,
}

impl Arbitrary for Work {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            target: u32::from(u8::arbitrary(g) % 4),
            roll: u8::arbitrary(g),
            latency_ms: if u8::arbitrary(g) % 8 == 0 { 900 } else { 10 },
            gap_ms: u64::from(u8::arbitrary(g) / 4),
        }
    }
}

/// One judged piece of work in the memory of the naive detector.
#[derive(Clone, Copy)]
struct Judged {
    target: u32,
    failed: bool,
    slow: bool,
    failed_share: f64,
    slow_share: f64,
    latency_s: Option<f64>,
    at_s: f64,
}

/// Recomputes everything from the whole history at each step.
#[derive(Default)]
struct Naive {
    history: Vec<Judged>,
    out: [bool; 4],
}

impl Naive {
    fn siblings<'a>(&'a self, target: u32) -> impl Iterator<Item = &'a Judged> + 'a {
        let serving = |w: &&Judged| !self.out[w.target as usize];
        self.history
            .iter()
            .filter(serving)
            .filter(move |w| w.target != target)
    }

    fn sum(&self, target: u32, now_s: f64, value: impl Fn(&Judged) -> f64) -> f64 {
        let half_life = BASELINE_HALF_LIFE.as_secs_f64();
        self.siblings(target)
            .map(|w| value(w) * 0.5f64.powf((now_s - w.at_s) / half_life))
            .sum()
    }

    fn evidence(&self, target: u32, now_s: f64, cap: f64) -> f64 {
        let half_life = EVIDENCE_HALF_LIFE.as_secs_f64();
        let sum = |fault_share, of_slow: bool| {
            let own = self.history.iter().filter(|w| w.target == target);
            let counted = own.filter(|w| !of_slow || !w.failed);
            let (sum, last) = counted.fold((0.0f64, now_s), |(sum, last), w| {
                let kept = sum * 0.5f64.powf((w.at_s - last).max(0.0) / half_life);
                let (bad, share) = if of_slow {
                    (w.slow, w.slow_share)
                } else {
                    (w.failed, w.failed_share)
                };
                let weight = if of_slow { SLOW_WEIGHT } else { 1.0 };
                let llr = weight * log_likelihood_ratio(bad, share, fault_share);
                ((kept + llr).clamp(0.0, cap), w.at_s)
            });
            sum * 0.5f64.powf((now_s - last) / half_life)
        };
        let largest = |share| sum(share, false).max(sum(share, true));
        FAULT_SHARES.map(largest).into_iter().fold(0.0, f64::max)
    }

    fn observe(&mut self, work: &Work, failed: bool, now_s: f64, threshold: f64) {
        let t = work.target;
        if self.out[t as usize] {
            return;
        }
        let timed = self.sum(t, now_s, |w| f64::from(u8::from(w.latency_s.is_some())));
        let ln = self.sum(t, now_s, |w| w.latency_s.map_or(0.0, f64::ln));
        let latency_s = work.latency_ms as f64 / 1000.0;
        let slow = timed >= 20.0 && latency_s > ((ln / timed).exp() * 8.0).max(0.02);
        let failed_sum = self.sum(t, now_s, |w| f64::from(u8::from(w.failed)));
        let slow_sum = self.sum(t, now_s, |w| f64::from(u8::from(w.slow)));
        let all = self.sum(t, now_s, |_| 1.0);
        let share =
            |bad: f64, all: f64, prior: f64| ((bad + prior) / (all + 20.0)).clamp(0.005, 0.9);
        self.history.push(Judged {
            target: t,
            failed,
            slow: slow && !failed,
            failed_share: share(failed_sum, all, 0.2),
            slow_share: share(slow_sum, all - failed_sum, 1.0),
            latency_s: (!failed).then_some(latency_s),
            at_s: now_s,
        });
        let cap = 4.0 * threshold;
        let serving: Vec<u32> = (0..4).filter(|i| !self.out[*i as usize]).collect();
        let others = serving.iter().filter(|i| **i != t);
        let total: f64 = others.map(|i| self.evidence(*i, now_s, cap)).sum();
        let mean = total / (serving.len() as f64 - 1.0).max(1.0);
        let excess = self.evidence(t, now_s, cap) - 3.0 * (mean - 0.5).max(0.0);
        self.out[t as usize] = (failed || slow) && excess >= threshold;
    }
}

#[test]
fn detector_agrees_with_one_that_recomputes_from_the_whole_history() {
    fn property(history: Vec<Work>, bad_256ths: (u8, u8, u8, u8)) -> bool {
        let (a, b, c, d) = bad_256ths;
        let threshold = Profile::FastDetection.options().local_threshold;
        let mut detector = SequentialDetector::new(Profile::FastDetection.options());
        (0..4).for_each(|i| detector.add_target(TargetId(i), ServiceId(0)));
        let mut naive = Naive::default();
        let mut ms = 1000;
        history.iter().all(|work| {
            ms += work.gap_ms;
            let bad = work.roll < [a, b, c, d][work.target as usize];
            let obs = Observation {
                result: if bad {
                    WorkResult::Lost
                } else {
                    WorkResult::Success
                },
                latency: Duration::from_millis(work.latency_ms),
            };
            detector.observe(TargetId(work.target), &obs, at(ms));
            naive.observe(work, bad, ms as f64 / 1000.0, threshold);
            (0..4u32).all(|i| {
                let out = detector.health(TargetId(i), at(ms)).suspicion >= 1.0;
                let own = detector.local_evidence(TargetId(i), at(ms));
                let expected = naive.evidence(i, ms as f64 / 1000.0, 4.0 * threshold);
                out == naive.out[i as usize] && (out || (own - expected).abs() < 1e-6)
            })
        })
    }
    QuickCheck::new()
        .rng(Gen::new(300))
        .tests(300)
        .quickcheck(property as fn(Vec<Work>, (u8, u8, u8, u8)) -> bool);
}

/// Lets healthy targets all behave like `all` at the same moment, and checks that none is out.
fn assert_none_out(name: &str, all: Behaviour, profile: Profile, seed: u64) {
    let mut bench = Bench::new(profile, 6, seed);
    (0..100).for_each(|_| bench.round());
    bench.targets.fill(all);
    for round in 0..500 {
        bench.round();
        let out = bench.out();
        assert_eq!(out, 0, "{name}, {profile:?}, seed {seed}, round {round}");
    }
}

#[test]
fn abrupt_half_failure_of_a_service_ejects_none_at_seed_250() {
    let all = Behaviour {
        bad_share: 0.5,
        ..HEALTHY
    };
    assert_none_out("service half fails", all, Profile::FastDetection, 250);
}
