//! The start of whole fleets in virtual time, with a store that performs the writes to one part of
//! a table one after another.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use chervillug::follow::{JoinEvent, JoinPlan, JoinStep};

/// Time in which the store performs one write to a part.
const WRITE_TIME: Duration = Duration::from_micros(3_333);
/// Queue of a part above which the store refuses writes.
const MAX_QUEUE: Duration = Duration::from_secs(1);
/// Time of one call besides the queue.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Timeout of a call; the store performs the write nevertheless.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which all daemons of a fleet start.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Time after its start within which a daemon must have joined.
const MAX_JOIN_TIME: Duration = Duration::from_secs(2);
/// Maximum number of calls of a daemon at a first start: secret, registration and members.
const MAX_CALLS: f64 = 3.2;
/// The same at any other start: secret and members.
const MAX_RESTART_CALLS: f64 = 2.0;

/// Decides on the calls of one daemon.
trait Plan {
    fn step(&self) -> JoinStep;
    fn apply(&mut self, event: JoinEvent);
}

impl Plan for JoinPlan {
    fn step(&self) -> JoinStep {
        self.step()
    }

    fn apply(&mut self, event: JoinEvent) {
        self.apply(event);
    }
}

/// A naive plan: every daemon writes to the part that all share, and repeats a failed call after a
/// pause that does not grow.
struct Naive {
    step: JoinStep,
    rng: fastrand::Rng,
}

impl Plan for Naive {
    fn step(&self) -> JoinStep {
        self.step
    }

    fn apply(&mut self, event: JoinEvent) {
        self.step = match event {
            JoinEvent::Waited => JoinStep::CreateSecret,
            JoinEvent::Secret(_) | JoinEvent::Members(false) => JoinStep::Register,
            JoinEvent::Registered => JoinStep::ReadMembers,
            JoinEvent::Members(true) => JoinStep::Joined,
            JoinEvent::Failed => JoinStep::Wait(Duration::from_millis(200 + self.rng.u64(..600))),
        };
    }
}

/// A simulated fleet and its store.
struct Fleet {
    plans: Vec<Box<dyn Plan>>,
    data_centres: usize,
    /// Whether the naive layout is used, with all rows in one part.
    one_part: bool,
    /// Times at which the parts have performed all writes; the last one is shared by the fleet.
    queues: Vec<Duration>,
    /// Time at which the secret is there.
    secret_from: Option<Duration>,
    /// Times at which the daemons' rows are there.
    registered_from: Vec<Option<Duration>>,
    down_until: Duration,
    calls: usize,
    joined_after: Vec<Option<Duration>>,
    /// Members that a daemon found when it last read them.
    found: Vec<usize>,
}

impl Fleet {
    fn new(daemons: usize, data_centres: usize, plan: impl Fn(usize) -> Box<dyn Plan>) -> Self {
        Self {
            plans: (0..daemons).map(plan).collect(),
            data_centres,
            one_part: false,
            queues: vec![Duration::ZERO; data_centres + 1],
            secret_from: None,
            registered_from: vec![None; daemons],
            down_until: Duration::ZERO,
            calls: 0,
            joined_after: vec![None; daemons],
            found: vec![0; daemons],
        }
    }

    /// Makes all daemons known to the store, as before a loss of power.
    fn known(mut self) -> Self {
        self.secret_from = Some(Duration::ZERO);
        self.registered_from.fill(Some(Duration::ZERO));
        self
    }

    /// Performs a write to `part` at `now`; returns when it takes effect, or `None` if it is refused.
    fn write(&mut self, part: usize, now: Duration) -> Option<Duration> {
        let part = if self.one_part {
            self.data_centres
        } else {
            part
        };
        let start = self.queues[part].max(now);
        if start - now > MAX_QUEUE {
            return None;
        }
        self.queues[part] = start + WRITE_TIME;
        Some(self.queues[part])
    }

    /// Performs a call of daemon `i` at `now`; returns the result and when it arrives.
    fn call(&mut self, i: usize, step: JoinStep, now: Duration) -> (JoinEvent, Duration) {
        self.calls += 1;
        if now < self.down_until {
            return (JoinEvent::Failed, now + CALL_TIME);
        }
        let is_there = |from: Option<Duration>| from.is_some_and(|t| t <= now);
        let own_part = i % self.data_centres;
        let answer = match step {
            JoinStep::ReadSecret => Some((JoinEvent::Secret(is_there(self.secret_from)), now)),
            JoinStep::ReadMembers => {
                let of_part = self.registered_from.iter().skip(own_part);
                let of_part = of_part.step_by(self.data_centres);
                self.found[i] = of_part.filter(|from| is_there(**from)).count();
                let is_listed = is_there(self.registered_from[i]);
                Some((JoinEvent::Members(is_listed), now))
            }
            JoinStep::CreateSecret => self.write(self.data_centres, now).map(|at| {
                self.secret_from.get_or_insert(at);
                (JoinEvent::Secret(true), at)
            }),
            JoinStep::Register => self.write(own_part, now).map(|at| {
                self.registered_from[i].get_or_insert(at);
                (JoinEvent::Registered, at)
            }),
            JoinStep::Wait(_) | JoinStep::Joined => unreachable!("not a call"),
        };
        match answer {
            Some((event, at)) if at - now < CALL_TIMEOUT => (event, at + CALL_TIME),
            Some(_) => (JoinEvent::Failed, now + CALL_TIMEOUT),
            None => (JoinEvent::Failed, now + CALL_TIME),
        }
    }

    /// Runs until all daemons have joined or the time is over.
    fn run(&mut self, limit: Duration, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let started: Vec<Duration> = self
            .plans
            .iter()
            .map(|_| START_SPREAD.mul_f64(rng.f64()))
            .collect();
        let mut due: BinaryHeap<Reverse<(Duration, usize, usize)>> = BinaryHeap::new();
        let mut events = Vec::new();
        for (i, at) in started.iter().enumerate() {
            due.push(Reverse((*at, i, usize::MAX)));
        }
        while let Some(Reverse((now, i, event))) = due.pop() {
            if now > limit {
                return;
            }
            if let Some(event) = events.get(event) {
                self.plans[i].apply(*event);
            }
            let (event, at) = match self.plans[i].step() {
                JoinStep::Joined => {
                    self.joined_after[i] = Some(now - started[i]);
                    continue;
                }
                JoinStep::Wait(time) => (JoinEvent::Waited, now + time),
                step => self.call(i, step, now),
            };
            events.push(event);
            due.push(Reverse((at, i, events.len() - 1)));
        }
    }

    fn calls_per_daemon(&self) -> f64 {
        self.calls as f64 / self.plans.len() as f64
    }

    fn joined_within(&self, limit: Duration) -> usize {
        let in_time = |after: &&Option<Duration>| after.is_some_and(|t| t <= limit);
        self.joined_after.iter().filter(in_time).count()
    }
}

/// Daemons and data centres of the fleets.
const SIZES: [(usize, usize); 5] = [(36, 3), (118, 3), (442, 5), (1_000, 8), (2_192, 12)];
const SEEDS: u64 = 5;

fn planned(size: (usize, usize), first_start: bool, seed: u64) -> Fleet {
    Fleet::new(size.0, size.1, |i| {
        Box::new(JoinPlan::new(first_start, seed * 10_000 + i as u64))
    })
}

#[test]
fn whole_fleet_starts_for_the_first_time_in_time() {
    for size in SIZES {
        for seed in 0..SEEDS {
            let mut fleet = planned(size, true, seed);
            fleet.run(Duration::from_secs(30), seed);
            let (daemons, calls) = (size.0, fleet.calls_per_daemon());
            assert_eq!(fleet.joined_within(MAX_JOIN_TIME), daemons, "seed {seed}");
            assert!(calls <= MAX_CALLS, "{daemons}: {calls} calls, seed {seed}");
            let smallest_centre = daemons / size.1;
            let found = fleet.found.iter().min().copied().unwrap_or_default();
            assert!(
                found >= smallest_centre,
                "{daemons}: found {found}, seed {seed}"
            );
        }
    }
}

#[test]
fn whole_fleet_restarts_after_a_loss_of_power_in_time() {
    for size in SIZES {
        for seed in 0..SEEDS {
            let mut fleet = planned(size, false, seed).known();
            fleet.run(Duration::from_secs(30), seed);
            let (daemons, calls) = (size.0, fleet.calls_per_daemon());
            let in_time = fleet.joined_within(Duration::from_millis(500));
            assert_eq!(in_time, daemons, "seed {seed}");
            assert!(
                calls <= MAX_RESTART_CALLS,
                "{daemons}: {calls}, seed {seed}"
            );
        }
    }
}

#[test]
fn calls_grow_slowly_while_the_store_is_down() {
    let outage = Duration::from_secs(20);
    for size in SIZES {
        let mut fleet = planned(size, false, 1).known();
        fleet.down_until = outage;
        fleet.run(Duration::from_secs(60), 1);
        let (daemons, calls) = (size.0, fleet.calls_per_daemon());
        assert!(calls <= 16.0, "{daemons}: {calls} calls");
        let limit = outage + Duration::from_secs(4);
        assert_eq!(fleet.joined_within(limit), daemons);
    }
}

#[test]
fn daemons_that_all_write_to_one_part_are_found_to_be_late() {
    let mut fleet = Fleet::new(442, 5, |i| {
        Box::new(Naive {
            step: JoinStep::CreateSecret,
            rng: fastrand::Rng::with_seed(i as u64),
        })
    });
    fleet.one_part = true;
    fleet.run(Duration::from_secs(30), 1);
    assert!(fleet.joined_within(MAX_JOIN_TIME) < 442 / 2);
    assert!(fleet.calls_per_daemon() > MAX_CALLS);
}
