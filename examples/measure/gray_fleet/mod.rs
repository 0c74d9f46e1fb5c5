//! Simulation of a fleet in virtual time, with targets that are simple queues. Runs only the
//! decision code of the daemons, without network, platform or real clock.

mod detection;
mod event;
mod work;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    rc::Rc,
    time::Duration,
};

use chervillug::{
    clock::BootTime,
    health::{
        Balancer, Choice, Decision, Member, ScheduleRequest, Scheduler, SuspicionExchange,
        WorkResult,
    },
    queue::QueueId,
    store::ListedHost,
};

use self::event::{Event, ScheduledEvent};
use crate::gray_scenario::{Fault, Outcome, Policy, Scenario};

const SERVICE: &str = "service";
const FLOOR: f64 = 0.7;
/// Mean service time of a request at a target, in seconds.
const SERVICE_TIME_S: f64 = 0.02;
/// Share of requests that a healthy target fails.
const HEALTHY_ERROR_SHARE: f64 = 0.005;
/// Share of requests that may run more than once.
const REPEATABLE_SHARE: f64 = 0.7;
/// Time from the arrival of a request to its deadline, in seconds.
const DEADLINE_S: f64 = 2.0;
const NETWORK_LATENCY_S: f64 = 0.001;
const TICK_INTERVAL_S: f64 = 0.02;
const SUSPICION_INTERVAL_S: f64 = 0.05;
const PROBE_INTERVAL_S: f64 = 0.1;
const FAULT_PERIOD_S: f64 = 60.0;
/// Duration of a temporary fault in each period, in seconds.
const FAULT_DURATION_S: f64 = 5.0;
/// Shares of the workspaces' plans in the total rate.
const WORKSPACE_SHARES: [f64; 8] = [0.3, 0.25, 0.2, 0.1, 0.05, 0.05, 0.03, 0.02];

struct Request {
    daemon: usize,
    workspace: usize,
    started_s: f64,
    choice: Option<Choice>,
    target: usize,
    counted: bool,
    ended: bool,
}

#[derive(Default)]
struct Workspace {
    plan_per_s: f64,
    requested_per_s: f64,
    tokens: f64,
    refilled_at_s: f64,
    admitted: u64,
    good: u64,
}

#[derive(Default)]
struct QueueingTarget {
    running: u32,
    waiting: VecDeque<usize>,
}

struct Daemon {
    scheduler: Scheduler<usize>,
    exchange: SuspicionExchange,
    has_ejected: bool,
}

/// A simulated fleet.
pub(crate) struct Fleet {
    scenario: Scenario,
    daemons: Vec<Daemon>,
    targets: Vec<QueueingTarget>,
    workspaces: Vec<Workspace>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    now_s: f64,
    is_faulty_removed: bool,
    rng: fastrand::Rng,
    messages: u64,
    outcome: Outcome,
}

fn boot_time(s: f64) -> BootTime {
    BootTime::from_duration(Duration::from_secs_f64(s + 1000.0))
}

/// Runs a scenario and returns its results.
pub(crate) fn run(scenario: &Scenario) -> Outcome {
    let mut fleet = Fleet::new(*scenario);
    fleet.start();
    fleet.run()
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let site = scenario.site;
        let member = |i: usize| Member {
            host: format!("entry-{i}").into(),
            data_centre: format!("dc-{}", i % 3).into(),
        };
        let threshold = site.profile.options().fleet_threshold;
        let threshold = match scenario.policy {
            Policy::Sequential(profile) => profile.options().fleet_threshold,
            _ => threshold,
        };
        let daemons = (0..site.daemons).map(|i| {
            let seed = scenario.seed.wrapping_mul(1000) + i as u64;
            let balancer = Balancer::new(scenario.policy.detector(), FLOOR, seed);
            let mut exchange = SuspicionExchange::new(member(i), threshold, boot_time(0.0));
            let others = (0..site.daemons).filter(|j| *j != i).map(member);
            exchange.set_peers(others.collect());
            Daemon {
                scheduler: Scheduler::new(balancer),
                exchange,
                has_ejected: false,
            }
        });
        let capacity = site.targets as f64 * f64::from(site.slots) / SERVICE_TIME_S;
        let workspaces = WORKSPACE_SHARES.iter().enumerate().map(|(i, share)| {
            let plan_per_s = capacity * scenario.load * share;
            let factor = if i == 0 { scenario.neighbour_load } else { 0.9 };
            Workspace {
                plan_per_s,
                requested_per_s: plan_per_s * factor,
                tokens: plan_per_s,
                ..Workspace::default()
            }
        });
        Self {
            scenario,
            daemons: daemons.collect(),
            targets: (0..site.targets)
                .map(|_| QueueingTarget::default())
                .collect(),
            workspaces: workspaces.collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now_s: 0.0,
            is_faulty_removed: false,
            rng: fastrand::Rng::with_seed(scenario.seed),
            messages: 0,
            outcome: Outcome::default(),
        }
    }

    fn start(&mut self) {
        self.update_target_list();
        for i in 0..self.workspaces.len() {
            self.schedule(0.0, Event::Arrival(i));
        }
        self.schedule(TICK_INTERVAL_S, Event::Tick);
        self.schedule(SUSPICION_INTERVAL_S, Event::Round);
        self.schedule(PROBE_INTERVAL_S, Event::Probe);
    }

    fn update_target_list(&mut self) {
        let site = self.scenario.site;
        let hosts: Vec<ListedHost> = (0..site.targets)
            .map(|i| ListedHost {
                name: format!("target-{i}"),
                data_centre: format!("dc-{}", i % 3),
                address: ([127, 0, 0, 1], 9000 + i as u16).into(),
                service: Some(SERVICE.into()),
                slots: site.slots,
                leaving: i == 0 && self.is_faulty_removed,
                cold: false,
                born: None,
            })
            .collect();
        for daemon in &mut self.daemons {
            let balancer = &mut daemon.scheduler.balancer;
            balancer.set_targets(&hosts, boot_time(self.now_s));
        }
    }

    fn schedule(&mut self, after_s: f64, event: Event) {
        self.sequence += 1;
        let at_ns = ((self.now_s + after_s) * 1e9) as u64;
        self.events
            .push(Reverse(ScheduledEvent(at_ns, self.sequence, event)));
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse(ScheduledEvent(at_ns, _, event))) = self.events.pop() {
            self.now_s = at_ns as f64 / 1e9;
            let detected = self.scenario.until_detected && self.outcome.detect_s.is_some();
            if self.now_s >= self.scenario.end_s || detected {
                break;
            }
            self.handle_event(event);
        }
        self.finish()
    }

    fn finish(mut self) -> Outcome {
        let shares = self.workspaces.iter().filter(|w| w.admitted > 0);
        let share = |w: &Workspace| w.good as f64 / w.admitted as f64;
        self.outcome.worst_workspace = shares.map(share).fold(1.0, f64::min);
        let ejections = self
            .daemons
            .iter()
            .map(|d| d.scheduler.balancer.ejections());
        self.outcome.ejections = ejections.sum();
        self.outcome.simulated_s = self.now_s;
        self.outcome.messages_per_s =
            self.messages as f64 / self.daemons.len() as f64 / self.now_s.max(1e-9);
        self.outcome
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival(workspace) => self.handle_arrival(workspace),
            Event::Completion(req) => self.handle_completion(req),
            Event::Deadline(req) => self.end_request(req, Some(WorkResult::Timeout)),
            Event::Message(from, to, msg) => self.receive_message(from, to, msg),
            Event::Tick => self.tick(),
            Event::Round => self.run_suspicion_round(),
            Event::Probe => self.send_probes(),
        }
    }

    fn is_fault_active(&self) -> bool {
        self.now_s >= self.scenario.onset_s && self.now_s % FAULT_PERIOD_S < FAULT_DURATION_S
    }

    fn handle_arrival(&mut self, i: usize) {
        let peak = self.scenario.fault == Fault::Peaks && self.is_fault_active();
        let factor = if peak { 2.0 } else { 1.0 };
        let rate = self.workspaces[i].requested_per_s * factor;
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        self.schedule(gap, Event::Arrival(i));
        let now_s = self.now_s;
        let ws = &mut self.workspaces[i];
        ws.tokens =
            (ws.tokens + ws.plan_per_s * factor * (now_s - ws.refilled_at_s)).min(ws.plan_per_s);
        ws.refilled_at_s = now_s;
        if ws.tokens < 1.0 {
            return;
        }
        ws.tokens -= 1.0;
        self.admit(i);
    }

    fn admit(&mut self, workspace: usize) {
        let counted =
            self.now_s >= self.scenario.onset_s && self.now_s < self.scenario.end_s - DEADLINE_S;
        let daemon = self.rng.usize(0..self.daemons.len());
        let req = self.requests.len();
        self.requests.push(Request {
            daemon,
            workspace,
            started_s: self.now_s,
            choice: None,
            target: 0,
            counted,
            ended: false,
        });
        if counted {
            self.outcome.admitted += 1;
            self.workspaces[workspace].admitted += 1;
        }
        let schedule_req = ScheduleRequest {
            service: Rc::from(SERVICE),
            workspace: Rc::from(format!("workspace-{workspace}")),
            rate_per_s: self.workspaces[workspace].plan_per_s,
            rank: 0,
            resent_early: false,
            repeatable: self.rng.f64() < REPEATABLE_SHARE,
            deadline: boot_time(self.now_s + DEADLINE_S),
            avoid: Vec::new(),
        };
        let scheduler = &mut self.daemons[daemon].scheduler;
        let decisions = scheduler.submit(
            QueueId(req as u64),
            schedule_req,
            req,
            boot_time(self.now_s),
        );
        self.handle_decisions(decisions);
        self.schedule(DEADLINE_S, Event::Deadline(req));
    }

    fn handle_decisions(&mut self, decisions: impl IntoIterator<Item = Decision<usize>>) {
        for Decision { item: req, res } in decisions {
            match res {
                Ok(choice) => self.send(req, choice),
                Err(_) => {
                    self.requests[req].ended = true;
                    self.outcome.refused += u64::from(self.requests[req].counted);
                }
            }
        }
    }

    fn send(&mut self, req: usize, choice: Choice) {
        let number = choice.name.trim_start_matches("target-").parse();
        let target = number.unwrap_or(0);
        let request = &mut self.requests[req];
        request.choice = Some(choice);
        request.target = target;
        let started_s = self.now_s;
        request.started_s = started_s;
        if let Fault::BadLink(share) = self.scenario.fault {
            let lost = request.daemon == 0 && self.is_fault_active() && self.rng.f64() < share;
            if lost {
                return self.end_request(req, Some(WorkResult::Lost));
            }
        }
        self.targets[target].waiting.push_back(req);
        self.start_requests(target);
    }
}
