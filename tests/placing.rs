//! Where a fleet of daemons places a load, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use chervillug::{
    clock::BootTime,
    health::{Balancer, Choice, Observation, PickRequest, Profile, SequentialDetector, WorkResult},
    proxy::TargetReport,
    store::ListedHost,
};

/// Longest idle time of a connection on which a request may be sent that runs once at most, ms.
const KEPT_MS: u64 = 1000;
/// Length of a run, ms.
const RUN_MS: u64 = 20_000;

/// A fleet and its load, of one service in one data centre.
struct Load {
    daemons: usize,
    targets: usize,
    slots: u32,
    work_ms: u64,
    /// Share of all slots that the load keeps busy.
    busy: f64,
}

/// The largest service of a data centre of mmrc-gateway, and of brereton-tracks.
const MMRC: Load = Load {
    daemons: 9,
    targets: 4,
    slots: 4,
    work_ms: 460,
    busy: 0.45,
};
const BRERETON: Load = Load {
    daemons: 16,
    targets: 6,
    slots: 2,
    work_ms: 180,
    busy: 0.45,
};

#[derive(Default)]
struct Placed {
    requests: u32,
    connections: u32,
    sheds: u32,
}

struct Running {
    daemon: usize,
    choice: Choice,
    started: u64,
}

struct Fleet {
    daemons: Vec<Balancer>,
    running: BTreeMap<u64, Vec<Running>>,
    busy: BTreeMap<String, u32>,
    /// When the idle connections of a daemon to a target were used last.
    idle: BTreeMap<(usize, String), Vec<u64>>,
    placed: Placed,
    is_blind: bool,
    random: fastrand::Rng,
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
            busy: BTreeMap::new(),
            idle: BTreeMap::new(),
            placed: Placed::default(),
            is_blind: false,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    fn end_work(&mut self, load: &Load, now: u64) {
        for ended in self.running.remove(&now).unwrap_or_default() {
            let name = ended.choice.name.to_string();
            let busy = self.busy.entry(name.clone()).or_default();
            *busy -= 1;
            let report = TargetReport {
                state: None,
                load: Some(f64::from(*busy) / f64::from(load.slots)),
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

    /// Sends a request, once more elsewhere when the first target has no room.
    fn send(&mut self, load: &Load, daemon: usize, now: u64) {
        self.placed.requests += 1;
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
            if self.is_blind {
                choice.name = format!("t{}", self.random.usize(0..load.targets)).into();
            }
            self.connect(daemon, &choice.name, now);
            let busy = self.busy.entry(choice.name.to_string()).or_default();
            if *busy < load.slots {
                *busy += 1;
                let work = -(self.random.f64().max(1e-9)).ln() * load.work_ms as f64;
                let end = now + 1 + work as u64;
                let running = Running {
                    daemon,
                    choice,
                    started: now,
                };
                self.running.entry(end).or_default().push(running);
                return;
            }
            self.placed.sheds += 1;
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
        idle.retain(|used| used + KEPT_MS >= now);
        if idle.pop().is_none() {
            self.placed.connections += 1;
        }
    }
}

/// Plays a load; `blind` targets are chosen by chance, as a baseline.
fn play(load: &Load, blind: bool, seed: u64) -> Placed {
    let mut fleet = Fleet::new(load, seed);
    fleet.is_blind = blind;
    let slots = f64::from(load.slots) * load.targets as f64;
    let per_ms = load.busy * slots / load.work_ms as f64;
    for now in 0..RUN_MS {
        fleet.end_work(load, now);
        if fleet.random.f64() < per_ms {
            let daemon = fleet.random.usize(0..load.daemons);
            fleet.send(load, daemon, now);
        }
    }
    fleet.placed
}

/// Returns the connections and the requests without a slot, as shares of all requests.
fn shares(load: &Load, blind: bool) -> (f64, f64) {
    let mut all = Placed::default();
    for seed in 1..=20 {
        let placed = play(load, blind, seed);
        all.requests += placed.requests;
        all.connections += placed.connections;
        all.sheds += placed.sheds;
    }
    let share = |count| f64::from(count) / f64::from(all.requests);
    (share(all.connections), share(all.sheds))
}

#[test]
fn connections_are_used_again_and_no_more_requests_find_no_slot() {
    for (name, load) in [("mmrc", MMRC), ("brereton", BRERETON)] {
        let (blind_connections, blind_sheds) = shares(&load, true);
        let (connections, sheds) = shares(&load, false);
        let figures = format!(
            "{name}: {connections:.3} connections of {blind_connections:.3}, \
             {sheds:.3} without a slot of {blind_sheds:.3}"
        );
        assert!(connections <= blind_connections * 2.0 / 3.0, "{figures}");
        assert!(sheds <= blind_sheds, "{figures}");
    }
}
