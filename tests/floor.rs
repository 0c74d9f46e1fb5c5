//! The routing set keeps the floor over random histories.

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
    Request { n: u8, bad: bool, ms: u16 },
    FleetAlarm { n: u8 },
    List { present: u8, leaving: u8, slots: u8 },
    ReportState { n: u8, state: u8 },
    Probe { healthy: bool },
    Wait { ms: u16 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g) % 8;
        match u8::arbitrary(g) % 12 {
            0..=5 => Self::Request {
                n,
                bad: bool::arbitrary(g),
                ms: u16::arbitrary(g) % 500,
            },
            6 | 7 => Self::FleetAlarm { n },
            8 => Self::List {
                present: u8::arbitrary(g) | 1,
                leaving: u8::arbitrary(g) & u8::arbitrary(g),
                slots: u8::arbitrary(g) % 4 + 1,
            },
            9 => Self::ReportState {
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

/// Expected state of a target, tracked independently of the balancer.
#[derive(Debug, Clone, Copy)]
struct TargetModel {
    slots: u32,
    listed_leaving: bool,
    reports_leaving: bool,
}

/// Replays a history on a balancer and on a model of its targets.
struct Replay {
    balancer: Balancer,
    floor: f64,
    model: BTreeMap<String, TargetModel>,
    now: BootTime,
}

impl Replay {
    fn new(floor: f64) -> Self {
        let detector = SequentialDetector::new(Profile::FastDetection.options());
        let mut replay = Self {
            balancer: Balancer::new(Box::new(detector), floor, 1),
            floor,
            model: BTreeMap::new(),
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
                born: None,
            })
            .collect();
        let previous = std::mem::take(&mut self.model);
        for host in &hosts {
            let reports_leaving = previous.get(&host.name).is_some_and(|t| t.reports_leaving);
            let model = TargetModel {
                slots: host.slots,
                listed_leaving: host.leaving,
                reports_leaving,
            };
            self.model.insert(host.name.clone(), model);
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
            Step::Request { n, bad, ms } => self.send_request(n, bad, ms),
            Step::FleetAlarm { n } => self
                .balancer
                .apply_fleet_alarm(&format!("orders-{n}"), self.now),
            Step::List {
                present,
                leaving,
                slots,
            } => self.list(present, leaving, slots),
            Step::ReportState { n, state } => self.report_state(n, state),
            Step::Probe { healthy } => {
                for (id, _) in self.balancer.targets_to_probe(self.now) {
                    self.balancer.record_probe(id, healthy, None, self.now);
                }
            }
            Step::Wait { ms } => self.now = self.now + Duration::from_millis(ms.into()),
        }
    }

    fn send_request(&mut self, n: u8, bad: bool, ms: u16) {
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

    fn report_state(&mut self, n: u8, state: u8) {
        let Some(id) = self.id(n) else { return };
        let state = [
            TargetState::Serving,
            TargetState::Cold,
            TargetState::Leaving,
        ][usize::from(state)];
        self.balancer.update_state(id, state, None, self.now);
        if let Some(model) = self.model.get_mut(&format!("orders-{n}")) {
            model.reports_leaving = state == TargetState::Leaving;
        }
    }

    /// Returns whether the routing set contains only live targets of the model and keeps the floor.
    fn keeps_floor(&mut self) -> bool {
        let routing = self.balancer.routed_targets(SERVICE, self.now);
        let live = |k: &&TargetModel| !k.listed_leaving && !k.reports_leaving;
        let live_slots: u32 = self.model.values().filter(live).map(|k| k.slots).sum();
        let mut routed_slots = 0;
        for id in &routing {
            let name = &self.balancer.target(*id).expect("a target").name;
            let model = &self.model[&**name];
            if !live(&model) {
                return false;
            }
            routed_slots += model.slots;
        }
        let picked = self.balancer.pick(
            &PickRequest {
                service: SERVICE,
                avoid: &[],
                repeatable: false,
            },
            self.now,
        );
        let is_pick_valid = match &picked {
            Ok(choice) => {
                self.balancer.release(choice.id, choice.attempt);
                routing.contains(&choice.id)
            }
            Err(_) => live_slots == 0,
        };
        is_pick_valid && f64::from(routed_slots) >= self.floor * f64::from(live_slots) - 1e-9
    }
}

#[test]
fn routing_set_keeps_the_floor_over_random_histories() {
    fn property(floor: u8, steps: Vec<Step>) -> bool {
        let mut replay = Replay::new(FLOORS[usize::from(floor % 4)]);
        steps.iter().all(|step| {
            replay.step(step);
            replay.keeps_floor()
        })
    }
    quickcheck::QuickCheck::new()
        .tests(3000)
        .quickcheck(property as fn(u8, Vec<Step>) -> bool);
}

quickcheck! {
    /// The set equals the result of a brute-force search: the shortest prefix, by suspicion, that
    /// contains all targets with a suspicion below 1 and keeps the floor.
    fn routing_set_equals_brute_force_result(inputs: Vec<(u8, u8)>, floor: u8) -> bool {
        let floor = FLOORS[usize::from(floor % 4)];
        let candidates: Vec<Candidate> = inputs
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
        let is_sufficient = |n: &usize| {
            let slots: u32 = sorted[..*n].iter().map(|c| c.slots).sum();
            let rest_is_suspect = sorted[*n..].iter().all(|c| c.suspicion >= 1.0);
            let keeps_one = *n > 0 || sorted.is_empty();
            keeps_one && rest_is_suspect && f64::from(slots) >= floor * f64::from(total)
        };
        let shortest = (0..=sorted.len()).find(is_sufficient).unwrap_or(sorted.len());
        let expected: Vec<TargetId> = sorted[..shortest].iter().map(|c| c.id).collect();
        routing_set(&candidates, floor) == expected
    }
}
