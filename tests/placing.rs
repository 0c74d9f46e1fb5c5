//! Placement of requests on targets by a fleet of daemons, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use chervillug::{
    clock::BootTime,
    health::{Balancer, Choice, Observation, PickRequest, Profile, SequentialDetector, WorkResult},
    proxy::TargetReport,
    store::ListedHost,
};

/// Maximum idle time of a connection that a non-idempotent request may be sent on.
const MAX_IDLE_MS: u64 = 1000;
/// Duration of a run.
const RUN_MS: u64 = 20_000;

/// Load of one service in one data centre, and the fleet that serves it.
struct Load {
    daemons: usize,
    targets: usize,
    slots: u32,
    request_ms: u64,
    /// Mean share of all slots that the load occupies.
    utilization: f64,
}

/// Loads of the largest service in a data centre of mmrc-gateway and of brereton-tracks.
const MMRC: Load = Load {
    daemons: 9,
    targets: 4,
    slots: 4,
    request_ms: 460,
    utilization: 0.45,
};
const BRERETON: Load = Load {
    daemons: 16,
    targets: 6,
    slots: 2,
    request_ms: 180,
    utilization: 0.45,
};

#[derive(Default)]
struct PlacementCounts {
    requests: u32,
    connections: u32,
    sheds: u32,
}

struct RunningRequest {
    daemon: usize,
    choice: Choice,
    started: u64,
}

struct Fleet {
    daemons: Vec<Balancer>,
    /// Running requests by the time at which they end, in ms.
    running: BTreeMap<u64, Vec<RunningRequest>>,
    /// Occupied slots of each target.
    busy_slots: BTreeMap<String, u32>,
    /// Times of last use of the idle connections of a daemon to a target.
    idle: BTreeMap<(usize, String), Vec<u64>>,
    counts: PlacementCounts,
    is_random: bool,
    rng: fastrand::Rng,
}

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
}

impl Fleet {
    fn new(load: &Load, seed: u64) -> Self {
        let host = |i| ListedHost {
            name: format!("t{i}"),
            data_centre: "a".to_owned(),
            address: "127.0.0.1:80".parse().expect("an address"),
            service: Some("one".to_owned()),
            slots: load.slots,
            leaving: false,
            cold: false,
            born: None,
        };
        let hosts: Vec<ListedHost> = (0..load.targets).map(host).collect();
        let daemon = |i: usize| {
            let detector = Box::new(SequentialDetector::new(Profile::default().options()));
            let mut balancer =
                Balancer::new(detector, 0.7, seed * 100 + i as u64).prefer_data_centre("a");
            balancer.set_targets(&hosts, at(0));
            balancer
        };
        Self {
            daemons: (0..load.daemons).map(daemon).collect(),
            running: BTreeMap::new(),
            busy_slots: BTreeMap::new(),
            idle: BTreeMap::new(),
            counts: PlacementCounts::default(),
            is_random: false,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn end_requests(&mut self, load: &Load, now: u64) {
        for ended in self.running.remove(&now).unwrap_or_default() {
            let name = ended.choice.name.to_string();
            let busy_slots = self.busy_slots.entry(name.clone()).or_default();
            *busy_slots -= 1;
            let report = TargetReport {
                load: Some(f64::from(*busy_slots) / f64::from(load.slots)),
                ..TargetReport::default()
            };
            let balancer = &mut self.daemons[ended.daemon];
            let (id, attempt) = (ended.choice.id, ended.choice.attempt);
            balancer.apply_report(id, report, at(now));
            let obs = Observation {
                result: WorkResult::Success,
                latency: Duration::from_millis(now - ended.started),
            };
            balancer.observe(id, attempt, &obs, at(now));
            balancer.release(id, attempt);
            self.idle.entry((ended.daemon, name)).or_default().push(now);
        }
    }

    /// Sends a request, and retries it once on another target if the first one has no free slot.
    fn send(&mut self, load: &Load, daemon: usize, now: u64) {
        self.counts.requests += 1;
        let mut avoid = Vec::new();
        for _ in 0..2 {
            let req = PickRequest {
                service: "one",
                avoid: &avoid,
                repeatable: false,
            };
            let Ok(mut choice) = self.daemons[daemon].pick(&req, at(now)) else {
                return;
            };
            if self.is_random {
                choice.name = format!("t{}", self.rng.usize(0..load.targets)).into();
            }
            self.connect(daemon, &choice.name, now);
            let busy_slots = self.busy_slots.entry(choice.name.to_string()).or_default();
            if *busy_slots < load.slots {
                *busy_slots += 1;
                let duration_ms = -(self.rng.f64().max(1e-9)).ln() * load.request_ms as f64;
                let end = now + 1 + duration_ms as u64;
                let running = RunningRequest {
                    daemon,
                    choice,
                    started: now,
                };
                self.running.entry(end).or_default().push(running);
                return;
            }
            self.counts.sheds += 1;
            let obs = Observation {
                result: WorkResult::Shed,
                latency: Duration::from_millis(1),
            };
            let balancer = &mut self.daemons[daemon];
            balancer.observe(choice.id, choice.attempt, &obs, at(now));
            balancer.release(choice.id, choice.attempt);
            avoid.push(choice.id);
        }
    }

    fn connect(&mut self, daemon: usize, target: &str, now: u64) {
        let idle = self.idle.entry((daemon, target.to_owned())).or_default();
        idle.retain(|used| used + MAX_IDLE_MS >= now);
        if idle.pop().is_none() {
            self.counts.connections += 1;
        }
    }
}

/// Simulates a load. With `is_random`, targets are chosen at random, as a baseline.
fn simulate(load: &Load, is_random: bool, seed: u64) -> PlacementCounts {
    let mut fleet = Fleet::new(load, seed);
    fleet.is_random = is_random;
    let slots = f64::from(load.slots) * load.targets as f64;
    let per_ms = load.utilization * slots / load.request_ms as f64;
    for now in 0..RUN_MS {
        fleet.end_requests(load, now);
        if fleet.rng.f64() < per_ms {
            let daemon = fleet.rng.usize(0..load.daemons);
            fleet.send(load, daemon, now);
        }
    }
    fleet.counts
}

/// Returns the number of new connections and of shed requests, as shares of all requests.
fn shares(load: &Load, is_random: bool) -> (f64, f64) {
    let mut all = PlacementCounts::default();
    for seed in 1..=20 {
        let counts = simulate(load, is_random, seed);
        all.requests += counts.requests;
        all.connections += counts.connections;
        all.sheds += counts.sheds;
    }
    let share = |count| f64::from(count) / f64::from(all.requests);
    (share(all.connections), share(all.sheds))
}

#[test]
fn connections_are_reused_without_more_shed_requests() {
    for (name, load) in [("mmrc", MMRC), ("brereton", BRERETON)] {
        let (random_connections, random_sheds) = shares(&load, true);
        let (connections, sheds) = shares(&load, false);
        let figures = format!(
            "{name}: {connections:.3} connections per request ({random_connections:.3} at random), \
             {sheds:.3} sheds per request ({random_sheds:.3} at random)"
        );
        assert!(connections <= random_connections * 2.0 / 3.0, "{figures}");
        assert!(sheds <= random_sheds, "{figures}");
    }
}
