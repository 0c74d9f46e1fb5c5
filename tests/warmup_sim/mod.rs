//! A simulated fleet before which a data centre returns cold from an evacuation.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use chervillug::{
    clock::BootTime,
    health::{
        Balancer, Choice, EntryWarmup, Evacuations, FleetShare, PickError, PickRequest, Profile,
        Reversal, SequentialDetector, ServiceWarmup, WarmupTerms, WarmupTolerance,
    },
    store::ListedHost,
};

/// The operator's tolerance of today's deployments.
pub(crate) const TOLERANCE: WarmupTolerance = WarmupTolerance {
    over: 1.5,
    slack: 8.0,
};
/// Rate of the simulated service.
pub(crate) const RATE_PER_S: f64 = 6.7;
/// Warm-up of the simulated service.
const WARMUP: Duration = Duration::from_secs(12);

pub(crate) fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
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

pub(crate) fn balancer(seed: u64, targets: usize, cold_data_centre: usize) -> Balancer {
    let options = Profile::FewFalseEjections.options();
    let mut balancer = Balancer::new(Box::new(SequentialDetector::new(options)), 0.7, seed);
    let terms = BTreeMap::from([(Rc::from("one"), terms(RATE_PER_S, TOLERANCE))]);
    balancer.set_warmup_terms(terms, at(0));
    balancer.set_targets(&hosts(targets, cold_data_centre), at(0));
    balancer
}

pub(crate) const ONE: PickRequest<'static> = PickRequest {
    service: "one",
    avoid: &[],
    repeatable: true,
};

/// Daemons of the simulated fleet.
const DAEMONS: usize = 119;
/// Targets of the data centre that is evacuated.
pub(crate) const COLD: usize = 30;
/// Time of the evacuation, of its end, and of the end of the simulation, ms.
pub(crate) const EVACUATED_AT: u64 = 2000;
pub(crate) const RETURNED_AT: u64 = 6000;
pub(crate) const END: u64 = 24_000;
/// Time that a request takes, ms.
const REQUEST_MS: u64 = 80;
/// Time until a token of another daemon arrives, ms.
const LEND_MS: u64 = 10;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Disturbance {
    None,
    /// A third of the daemons learns nothing and reaches nobody from the evacuation until 3 s after
    /// its end.
    Partition,
    /// A third of the daemons restarts, one after the other, around the return.
    Restart,
    /// A third of the daemons is suspended for 3 s around the return.
    Suspension,
    /// A daemon is removed from the list of members, but runs on; the others learn this within 2 s.
    Removal,
}

pub(crate) struct Sim {
    daemons: Vec<Balancer>,
    names: Vec<String>,
    rng: fastrand::Rng,
    disturbance: Disturbance,
    suspended: BTreeSet<usize>,
    running: BTreeMap<u64, Vec<(usize, Choice)>>,
    /// Requests for which a token was asked for, by the time at which it arrives.
    granted: BTreeMap<u64, Vec<(usize, Choice)>>,
    arrivals: BTreeMap<usize, Vec<u64>>,
    pub(crate) sent: usize,
    pub(crate) served: usize,
    pub(crate) throttled: usize,
    pub(crate) busy: usize,
    pub(crate) without_target: usize,
}

impl Sim {
    pub(crate) fn new(seed: u64, targets: usize, disturbance: Disturbance) -> Self {
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
            without_target: 0,
        };
        for i in 0..DAEMONS {
            sim.verify(i, 0);
        }
        sim
    }

    /// Completes the probes of a daemon after its start, which begin with its first request.
    fn verify(&mut self, i: usize, now: u64) {
        if let Ok(choice) = self.daemons[i].pick(&ONE, at(now)) {
            self.daemons[i].release(choice.id, choice.attempt);
        }
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

    /// Returns when a daemon learns that daemon 0 is not a member any more.
    fn removal_learned_at(i: usize) -> u64 {
        RETURNED_AT + 3000 + (i as u64 * 53) % 2000
    }

    /// Returns the members of the fleet that a daemon knows.
    fn members(&self, i: usize, now: u64) -> Vec<&str> {
        let is_removed = self.disturbance == Disturbance::Removal
            && i != 0
            && now >= Self::removal_learned_at(i);
        let names = self.names.iter().skip(usize::from(is_removed));
        names.map(String::as_str).collect()
    }

    fn update_shares(&mut self, i: usize, now: u64) {
        let mut needed = self.daemons[i].take_shares_needed();
        if self.disturbance == Disturbance::Removal && now == Self::removal_learned_at(i) {
            needed = self.daemons[i].cold_targets(at(now));
        }
        for (id, target) in needed {
            let others = self.members(i, now).into_iter();
            let share = FleetShare::new(&self.names[i], others, &target);
            self.daemons[i].set_warmup_share(id, share, at(now));
        }
    }

    fn set_evacuated(&mut self, i: usize, in_force: bool, now: u64) {
        let b: Rc<str> = Rc::from("b");
        let reverted = Reversal {
            data_centre: b.clone(),
            version: Some(50.into()),
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
                version: 60.into(),
                may_be_restored: false,
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
            Err(PickError::NoTarget) => self.without_target += 1,
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
            let hosts = self.members(i, now).into_iter();
            let lenders = FleetShare::first(hosts, &name, count);
            let number = |host: &&str| host[5..].parse::<usize>().expect("a number");
            let lenders: Vec<usize> = lenders.iter().map(number).collect();
            let lender = lenders[self.rng.usize(0..lenders.len())];
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

    pub(crate) fn run(&mut self, rate_per_s: f64) {
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
    pub(crate) fn most_per_s(&self) -> usize {
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

    pub(crate) fn arrivals_in(&self, span: std::ops::Range<u64>) -> usize {
        let cold = self.arrivals.iter().filter(|(target, _)| **target < COLD);
        cold.flat_map(|(_, times)| times)
            .filter(|ms| span.contains(ms))
            .count()
    }
}
