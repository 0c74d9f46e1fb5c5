//! The routing set keeps its floor over random histories.

use std::{collections::BTreeMap, time::Duration};

use chervillug::{
    clock::BootTime,
    health::{
        routing_set, Balancer, Candidate, Observation, PickRequest, Profile, SequentialDetector,
        TargetId, TargetState, WorkResult,
    },
    store::ListedHost,
};
use quickcheck::{quickcheck, Arbitrary, Gen};

const SERVICE: &str = "orders";
const FLOORS: [f64; 4] = [0.0, 0.5, 0.7, 1.0];

/// One step of a random history.
#[derive(Debug, Clone)]
enum Step {
    Work { n: u8, bad: bool, ms: u16 },
    Suspect { n: u8 },
    List { present: u8, leaving: u8, slots: u8 },
    Say { n: u8, state: u8 },
    Probe { healthy: bool },
    Wait { ms: u16 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g) % 8;
        match u8::arbitrary(g) % 12 {
            0..=5 => Self::Work {
                n,
                bad: bool::arbitrary(g),
                ms: u16::arbitrary(g) % 500,
            },
            6 | 7 => Self::Suspect { n },
            8 => Self::List {
                present: u8::arbitrary(g) | 1,
                leaving: u8::arbitrary(g) & u8::arbitrary(g),
                slots: u8::arbitrary(g) % 4 + 1,
            },
            9 => Self::Say {
                n,
                state: u8::arbitrary(g) % 3,
            },
            10 => Self::Probe {
                healthy: bool::arbitrary(g),
            },
            _ => Self::Wait {
                ms: u16::arbitrary(g) % 4000,
            },
        }
    }
}

/// What the test itself knows of a target.
#[derive(Debug, Clone, Copy)]
struct Known {
    slots: u32,
    listed_leaving: bool,
    says_leaving: bool,
}

/// Replays a history, and remembers the facts apart from the balancer.
struct Replay {
    balancer: Balancer,
    floor: f64,
    known: BTreeMap<String, Known>,
    now: BootTime,
}

impl Replay {
    fn new(floor: f64) -> Self {
        let detector = SequentialDetector::new(Profile::FastDetection.options());
        let mut replay = Self {
            balancer: Balancer::new(Box::new(detector), floor, 1),
            floor,
            known: BTreeMap::new(),
            now: BootTime::from_duration(Duration::from_secs(100)),
        };
        replay.list(0xff, 0, 2);
        replay
    }

    fn list(&mut self, present: u8, leaving: u8, slots: u8) {
        let hosts: Vec<ListedHost> = (0..8)
            .filter(|n| present >> n & 1 == 1)
            .map(|n| ListedHost {
                name: format!("orders-{n}"),
                data_centre: "hobart".into(),
                address: ([127, 0, 0, 1], 9000 + n).into(),
                service: Some(SERVICE.into()),
                slots: u32::from(slots) + u32::from(n % 3),
                leaving: leaving >> n & 1 == 1,
                cold: false,
            })
            .collect();
        let earlier = std::mem::take(&mut self.known);
        for host in &hosts {
            let says = earlier.get(&host.name).is_some_and(|k| k.says_leaving);
            let known = Known {
                slots: host.slots,
                listed_leaving: host.leaving,
                says_leaving: says,
            };
            self.known.insert(host.name.clone(), known);
        }
        self.balancer.set_targets(&hosts, self.now);
    }

    fn id(&self, n: u8) -> Option<TargetId> {
        self.balancer
            .target_by_name(&format!("orders-{n}"))
            .map(|t| t.id)
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Work { n, bad, ms } => self.work(n, bad, ms),
            Step::Suspect { n } => self
                .balancer
                .apply_fleet_alarm(&format!("orders-{n}"), self.now),
            Step::List {
                present,
                leaving,
                slots,
            } => self.list(present, leaving, slots),
            Step::Say { n, state } => self.say(n, state),
            Step::Probe { healthy } => {
                for (id, _) in self.balancer.targets_to_probe(self.now) {
                    self.balancer.record_probe(id, healthy, None, self.now);
                }
            }
            Step::Wait { ms } => self.now = self.now + Duration::from_millis(ms.into()),
        }
    }

    fn work(&mut self, n: u8, bad: bool, ms: u16) {
        let Some(id) = self.id(n) else { return };
        let req = PickRequest {
            service: SERVICE,
            avoid: &[],
            repeatable: true,
        };
        let Ok(choice) = self.balancer.pick(&req, self.now) else {
            return;
        };
        self.now = self.now + Duration::from_millis(1);
        let obs = Observation {
            result: if bad {
                WorkResult::ServerError
            } else {
                WorkResult::Success
            },
            latency: Duration::from_millis(ms.into()),
        };
        for _ in 0..4 {
            self.balancer.observe(id, choice.attempt, &obs, self.now);
        }
        self.balancer.release(choice.id, choice.attempt);
    }

    fn say(&mut self, n: u8, state: u8) {
        let Some(id) = self.id(n) else { return };
        let state = [
            TargetState::Serving,
            TargetState::Cold,
            TargetState::Leaving,
        ][usize::from(state)];
        self.balancer.update_state(id, state, None, self.now);
        if let Some(known) = self.known.get_mut(&format!("orders-{n}")) {
            known.says_leaving = state == TargetState::Leaving;
        }
    }

    /// Tells whether the routing set is as it must be, by the facts that the test holds.
    fn holds(&mut self) -> bool {
        let routing = self.balancer.routed_targets(SERVICE, self.now);
        let live = |k: &&Known| !k.listed_leaving && !k.says_leaving;
        let live_slots: u32 = self.known.values().filter(live).map(|k| k.slots).sum();
        let mut routed_slots = 0;
        for id in &routing {
            let name = &self.balancer.target(*id).expect("a target").name;
            let known = &self.known[&**name];
            if !live(&known) {
                return false;
            }
            routed_slots += known.slots;
        }
        let picked = self.balancer.pick(
            &PickRequest {
                service: SERVICE,
                avoid: &[],
                repeatable: false,
            },
            self.now,
        );
        let served = match &picked {
            Ok(choice) => {
                self.balancer.release(choice.id, choice.attempt);
                routing.contains(&choice.id)
            }
            Err(_) => live_slots == 0,
        };
        served && f64::from(routed_slots) >= self.floor * f64::from(live_slots) - 1e-9
    }
}

#[test]
fn routing_set_keeps_the_floor_over_random_histories() {
    fn property(floor: u8, steps: Vec<Step>) -> bool {
        let mut replay = Replay::new(FLOORS[usize::from(floor % 4)]);
        steps.iter().all(|step| {
            replay.step(step);
            replay.holds()
        })
    }
    quickcheck::QuickCheck::new()
        .tests(3000)
        .quickcheck(property as fn(u8, Vec<Step>) -> bool);
}

quickcheck! {
    /// The set equals the one that a naive search finds: the shortest prefix, by suspicion, that
    /// holds all the unsuspected and the floor.
    fn routing_set_equals_the_naive_one(parts: Vec<(u8, u8)>, floor: u8) -> bool {
        let floor = FLOORS[usize::from(floor % 4)];
        let candidates: Vec<Candidate> = parts
            .iter()
            .enumerate()
            .map(|(i, (slots, suspicion))| Candidate {
                id: TargetId(i as u32),
                slots: u32::from(slots % 8) + 1,
                suspicion: f64::from(suspicion % 5) / 2.0,
            })
            .collect();
        let mut sorted = candidates.clone();
        sorted.sort_by(|a, b| a.suspicion.total_cmp(&b.suspicion).then(a.id.cmp(&b.id)));
        let total: u32 = candidates.iter().map(|c| c.slots).sum();
        let enough = |n: &usize| {
            let kept: u32 = sorted[..*n].iter().map(|c| c.slots).sum();
            let rest_is_suspect = sorted[*n..].iter().all(|c| c.suspicion >= 1.0);
            let some = *n > 0 || sorted.is_empty();
            some && rest_is_suspect && f64::from(kept) >= floor * f64::from(total)
        };
        let shortest = (0..=sorted.len()).find(enough).unwrap_or(sorted.len());
        let naive: Vec<TargetId> = sorted[..shortest].iter().map(|c| c.id).collect();
        routing_set(&candidates, floor) == naive
    }
}
