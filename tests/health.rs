//! The sequential detector ejects faulty targets and no others.

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

/// Simulated behaviour of a target.
#[derive(Clone, Copy)]
struct Behaviour {
    failure_share: f64,
    latency_ms: f64,
}

const HEALTHY: Behaviour = Behaviour {
    failure_share: 0.005,
    latency_ms: 20.0,
};

/// A simulated service whose targets receive requests in turn, 10 ms apart.
struct Simulation {
    detector: SequentialDetector,
    targets: Vec<Behaviour>,
    rng: fastrand::Rng,
    ms: u64,
}

impl Simulation {
    fn new(profile: Profile, count: u32, seed: u64) -> Self {
        let mut detector = SequentialDetector::new(profile.options());
        for i in 0..count {
            detector.add_target(TargetId(i), ServiceId(0));
        }
        Self {
            detector,
            targets: vec![HEALTHY; count as usize],
            rng: fastrand::Rng::with_seed(seed),
            ms: 1000,
        }
    }

    /// Sends one request to each target.
    fn run_round(&mut self) {
        for i in 0..self.targets.len() {
            self.ms += 10;
            let target = self.targets[i];
            let bad = self.rng.f64() < target.failure_share;
            let exponential = -(1.0 - self.rng.f64()).ln();
            let latency = Duration::from_secs_f64(target.latency_ms * exponential / 1000.0);
            let id = TargetId(i as u32);
            let result = if bad {
                WorkResult::ServerError
            } else {
                WorkResult::Success
            };
            self.end_request(id, result, latency);
        }
    }

    /// Reports one request to the detector as the balancer does: a late request is reported as
    /// late, and its final result is not.
    fn end_request(&mut self, id: TargetId, result: WorkResult, latency: Duration) {
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

    fn is_ejected(&self, i: u32) -> bool {
        self.detector.health(TargetId(i), at(self.ms)).suspicion >= 1.0
    }

    fn ejected_count(&self) -> usize {
        (0..self.targets.len() as u32)
            .filter(|i| self.is_ejected(*i))
            .count()
    }
}

#[test]
fn faulty_target_is_ejected_within_request_limit() {
    struct Case {
        name: &'static str,
        behaviour: Behaviour,
        /// Maximum number of requests to the target before its ejection.
        max_requests: usize,
    }
    let slow = Behaviour {
        latency_ms: 200.0,
        ..HEALTHY
    };
    let failing = |failure_share| Behaviour {
        failure_share,
        ..HEALTHY
    };
    let cases = [
        Case {
            name: "all requests fail",
            behaviour: failing(1.0),
            max_requests: 8,
        },
        Case {
            name: "half of the requests fail",
            behaviour: failing(0.5),
            max_requests: 60,
        },
        Case {
            name: "a fifth of the requests fail",
            behaviour: failing(0.2),
            max_requests: 300,
        },
        Case {
            name: "ten times the latency",
            behaviour: slow,
            max_requests: 100,
        },
    ];
    for case in &cases {
        for (profile, seed) in PROFILES.iter().flat_map(|p| (0..20).map(move |s| (*p, s))) {
            let mut sim = Simulation::new(profile, 6, seed);
            (0..200).for_each(|_| sim.run_round());
            sim.targets[0] = case.behaviour;
            let ejected = (1..=case.max_requests).any(|_| {
                sim.run_round();
                sim.is_ejected(0)
            });
            assert!(ejected, "{}, {profile:?}, seed {seed}", case.name);
        }
    }
}

#[test]
fn fault_of_whole_service_ejects_no_target() {
    struct Case {
        name: &'static str,
        all: Behaviour,
    }
    let cases = [
        Case {
            name: "healthy service",
            all: HEALTHY,
        },
        Case {
            name: "service fails completely",
            all: Behaviour {
                failure_share: 1.0,
                ..HEALTHY
            },
        },
        Case {
            name: "half of the service's requests fail",
            all: Behaviour {
                failure_share: 0.5,
                ..HEALTHY
            },
        },
        Case {
            name: "service is slow",
            all: Behaviour {
                latency_ms: 200.0,
                ..HEALTHY
            },
        },
    ];
    for case in &cases {
        for (profile, seed) in PROFILES.iter().flat_map(|p| (0..20).map(move |s| (*p, s))) {
            assert_none_ejected(case.name, case.all, profile, seed);
        }
    }
}

#[test]
fn healthy_probe_starts_trial_but_does_not_readmit() {
    let mut sim = Simulation::new(Profile::FastDetection, 6, 1);
    (0..50).for_each(|_| sim.run_round());
    sim.targets[0].failure_share = 1.0;
    (0..8).for_each(|_| sim.run_round());
    assert!(sim.is_ejected(0));
    sim.ms += 3000;
    assert!(sim.detector.needs_probe(TargetId(0), at(sim.ms)));
    sim.detector.record_probe(TargetId(0), true, at(sim.ms));
    assert!(sim.is_ejected(0));
    let health = sim.detector.health(TargetId(0), at(sim.ms));
    assert!(health.on_trial);
    sim.run_round();
    assert!(!sim.detector.health(TargetId(0), at(sim.ms)).on_trial);
    sim.ms += 3000;
    let still_ejected = !sim.detector.needs_probe(TargetId(0), at(sim.ms));
    assert!(still_ejected, "second ejection not longer than the first");
    sim.ms += 3000;
    sim.detector.record_probe(TargetId(0), true, at(sim.ms));
    sim.targets[0] = Behaviour {
        failure_share: 0.0,
        ..HEALTHY
    };
    (0..8).for_each(|_| sim.run_round());
    assert!(!sim.is_ejected(0), "target not readmitted after the trial");
}

/// One request of a random history.
#[derive(Debug, Clone, Copy)]
struct Request {
    target: u32,
    /// The request fails if this is below the failure share of the target, in 256ths.
    roll: u8,
    latency_ms: u64,
    gap_ms: u64,
}

impl Arbitrary for Request {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            target: u32::from(u8::arbitrary(g) % 4),
            roll: u8::arbitrary(g),
            latency_ms: if u8::arbitrary(g) % 8 == 0 { 900 } else { 10 },
            gap_ms: u64::from(u8::arbitrary(g) / 4),
        }
    }
}

/// A classified request in the history of the reference detector.
#[derive(Clone, Copy)]
struct RecordedRequest {
    target: u32,
    failed: bool,
    slow: bool,
    failed_share: f64,
    slow_share: f64,
    latency_s: Option<f64>,
    at_s: f64,
}

/// Reference detector that recomputes everything from the whole history at each step.
#[derive(Default)]
struct ReferenceDetector {
    history: Vec<RecordedRequest>,
    ejected: [bool; 4],
}

impl ReferenceDetector {
    fn siblings<'a>(&'a self, target: u32) -> impl Iterator<Item = &'a RecordedRequest> + 'a {
        let is_serving = |r: &&RecordedRequest| !self.ejected[r.target as usize];
        self.history
            .iter()
            .filter(is_serving)
            .filter(move |r| r.target != target)
    }

    fn sum(&self, target: u32, now_s: f64, value: impl Fn(&RecordedRequest) -> f64) -> f64 {
        let half_life = BASELINE_HALF_LIFE.as_secs_f64();
        self.siblings(target)
            .map(|r| value(r) * 0.5f64.powf((now_s - r.at_s) / half_life))
            .sum()
    }

    fn evidence(&self, target: u32, now_s: f64, cap: f64) -> f64 {
        let half_life = EVIDENCE_HALF_LIFE.as_secs_f64();
        let sum = |fault_share, for_slow: bool| {
            let own = self.history.iter().filter(|r| r.target == target);
            let counted = own.filter(|r| !for_slow || !r.failed);
            let (sum, last) = counted.fold((0.0f64, now_s), |(sum, last), r| {
                let kept = sum * 0.5f64.powf((r.at_s - last).max(0.0) / half_life);
                let (bad, share) = if for_slow {
                    (r.slow, r.slow_share)
                } else {
                    (r.failed, r.failed_share)
                };
                let weight = if for_slow { SLOW_WEIGHT } else { 1.0 };
                let llr = weight * log_likelihood_ratio(bad, share, fault_share);
                ((kept + llr).clamp(0.0, cap), r.at_s)
            });
            sum * 0.5f64.powf((now_s - last) / half_life)
        };
        let largest = |share| sum(share, false).max(sum(share, true));
        FAULT_SHARES.map(largest).into_iter().fold(0.0, f64::max)
    }

    fn observe(&mut self, req: &Request, failed: bool, now_s: f64, threshold: f64) {
        let t = req.target;
        if self.ejected[t as usize] {
            return;
        }
        let timed = self.sum(t, now_s, |r| f64::from(u8::from(r.latency_s.is_some())));
        let ln = self.sum(t, now_s, |r| r.latency_s.map_or(0.0, f64::ln));
        let latency_s = req.latency_ms as f64 / 1000.0;
        let slow = timed >= 20.0 && latency_s > ((ln / timed).exp() * 8.0).max(0.02);
        let failed_sum = self.sum(t, now_s, |r| f64::from(u8::from(r.failed)));
        let slow_sum = self.sum(t, now_s, |r| f64::from(u8::from(r.slow)));
        let all = self.sum(t, now_s, |_| 1.0);
        let share =
            |bad: f64, all: f64, prior: f64| ((bad + prior) / (all + 20.0)).clamp(0.005, 0.9);
        self.history.push(RecordedRequest {
            target: t,
            failed,
            slow: slow && !failed,
            failed_share: share(failed_sum, all, 0.2),
            slow_share: share(slow_sum, all - failed_sum, 1.0),
            latency_s: (!failed).then_some(latency_s),
            at_s: now_s,
        });
        let cap = 4.0 * threshold;
        let serving: Vec<u32> = (0..4).filter(|i| !self.ejected[*i as usize]).collect();
        let others = serving.iter().filter(|i| **i != t);
        let total: f64 = others.map(|i| self.evidence(*i, now_s, cap)).sum();
        let mean = total / (serving.len() as f64 - 1.0).max(1.0);
        let excess = self.evidence(t, now_s, cap) - 3.0 * (mean - 0.5).max(0.0);
        self.ejected[t as usize] = (failed || slow) && excess >= threshold;
    }
}

#[test]
fn detector_agrees_with_reference_detector() {
    fn property(history: Vec<Request>, failures_256ths: (u8, u8, u8, u8)) -> bool {
        let (a, b, c, d) = failures_256ths;
        let threshold = Profile::FastDetection.options().local_threshold;
        let mut detector = SequentialDetector::new(Profile::FastDetection.options());
        (0..4).for_each(|i| detector.add_target(TargetId(i), ServiceId(0)));
        let mut reference = ReferenceDetector::default();
        let mut ms = 1000;
        history.iter().all(|req| {
            ms += req.gap_ms;
            let bad = req.roll < [a, b, c, d][req.target as usize];
            let obs = Observation {
                result: if bad {
                    WorkResult::Lost
                } else {
                    WorkResult::Success
                },
                latency: Duration::from_millis(req.latency_ms),
            };
            detector.observe(TargetId(req.target), &obs, at(ms));
            reference.observe(req, bad, ms as f64 / 1000.0, threshold);
            (0..4u32).all(|i| {
                let ejected = detector.health(TargetId(i), at(ms)).suspicion >= 1.0;
                let nats = detector.local_evidence(TargetId(i), at(ms));
                let expected = reference.evidence(i, ms as f64 / 1000.0, 4.0 * threshold);
                ejected == reference.ejected[i as usize]
                    && (ejected || (nats - expected).abs() < 1e-6)
            })
        })
    }
    QuickCheck::new()
        .rng(Gen::new(300))
        .tests(300)
        .quickcheck(property as fn(Vec<Request>, (u8, u8, u8, u8)) -> bool);
}

/// Changes all targets from healthy to `all` at once, and checks that none is ejected.
fn assert_none_ejected(name: &str, all: Behaviour, profile: Profile, seed: u64) {
    let mut sim = Simulation::new(profile, 6, seed);
    (0..100).for_each(|_| sim.run_round());
    sim.targets.fill(all);
    for round in 0..500 {
        sim.run_round();
        let ejected = sim.ejected_count();
        assert_eq!(
            ejected, 0,
            "{name}, {profile:?}, seed {seed}, round {round}"
        );
    }
}

#[test]
fn abrupt_half_failure_of_service_ejects_none_at_seed_250() {
    let all = Behaviour {
        failure_share: 0.5,
        ..HEALTHY
    };
    assert_none_ejected(
        "half of the service's requests fail",
        all,
        Profile::FastDetection,
        250,
    );
}
