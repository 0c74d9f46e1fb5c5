//! The queue by rank: order, shedding, estimates and cost, without a network or a clock.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use chervillug::{
    clock::BootTime,
    queue::{QueueId, QueuedRequest, RankedQueue},
};
use quickcheck::quickcheck;

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(ms))
}

fn request(workspace: &str, rate_per_s: f64, deadline_ms: u64, id: u64) -> QueuedRequest<u64> {
    QueuedRequest {
        workspace: Rc::from(workspace),
        rate_per_s,
        deadline: at(deadline_ms),
        resent_early: false,
        item: id,
    }
}

/// The queue before requests had ranks: one linear list in the order of virtual finish times.
#[derive(Default)]
struct LinearQueue {
    virtual_time: f64,
    last_finish: std::collections::BTreeMap<usize, f64>,
    entries: Vec<(f64, u64, usize, u64)>,
}

/// Rates of the workspaces in 1/s; powers of two, so that virtual times are exact.
const RATES: [f64; 5] = [0.5, 1.0, 2.0, 8.0, 64.0];

impl LinearQueue {
    fn push(&mut self, workspace: usize, deadline: u64, id: u64, capacity: usize) -> Option<u64> {
        let last = self.last_finish.get(&workspace);
        let start = last.map_or(self.virtual_time, |f| f.max(self.virtual_time));
        let finish = start + 1.0 / RATES[workspace];
        self.last_finish.insert(workspace, finish);
        self.entries.push((finish, id, workspace, deadline));
        if self.entries.len() <= capacity {
            return None;
        }
        let key = |e: &(f64, u64, usize, u64)| (e.0, e.1);
        let last = (0..self.entries.len()).max_by(|a, b| {
            key(&self.entries[*a])
                .partial_cmp(&key(&self.entries[*b]))
                .unwrap()
        });
        last.map(|i| self.remove_unserved(i))
    }

    fn pop(&mut self) -> Option<u64> {
        let key = |e: &(f64, u64, usize, u64)| (e.0, e.1);
        let first = (0..self.entries.len()).min_by(|a, b| {
            key(&self.entries[*a])
                .partial_cmp(&key(&self.entries[*b]))
                .unwrap()
        })?;
        let (finish, id, ..) = self.entries.swap_remove(first);
        self.virtual_time = self.virtual_time.max(finish);
        if self.entries.is_empty() {
            self.last_finish.clear();
        }
        Some(id)
    }

    fn take_expired(&mut self, now: u64) -> Vec<u64> {
        let mut expired = Vec::new();
        while let Some(i) = self.entries.iter().position(|e| e.3 <= now) {
            expired.push(self.remove_unserved(i));
        }
        expired
    }

    fn remove_unserved(&mut self, i: usize) -> u64 {
        let (_, id, workspace, _) = self.entries.swap_remove(i);
        if let Some(finish) = self.last_finish.get_mut(&workspace) {
            *finish -= 1.0 / RATES[workspace];
        }
        id
    }
}

quickcheck! {
    /// Guards deployments without ranks against a change of order: with one rank, and deadlines in
    /// the order of arrival, the same requests are served, shed and expired as before ranks.
    fn one_rank_is_served_in_the_order_of_the_linear_queue(steps: Vec<(u8, u8)>) -> bool {
        const CAPACITY: usize = 6;
        let mut ranked = RankedQueue::new(CAPACITY);
        let mut linear = LinearQueue::default();
        for (i, (kind, workspace)) in steps.iter().enumerate() {
            let (i, workspace) = (i as u64, usize::from(*workspace) % RATES.len());
            let same = match kind % 8 {
                0..=4 => {
                    let name = format!("w{workspace}");
                    let req = request(&name, RATES[workspace], i + 12, i);
                    ranked.record_offered(3, at(i));
                    let shed = ranked.push(QueueId(i), 3, req, at(i)).map(|(_, r)| r.item);
                    shed == linear.push(workspace, i + 12, i, CAPACITY)
                }
                5 | 6 => ranked.pop(at(i)).map(|(_, r)| r.item) == linear.pop(),
                _ => {
                    let expired = ranked.take_expired(at(i), at(i));
                    let mut expired: Vec<u64> = expired.iter().map(|(_, r)| r.item).collect();
                    let mut expected = linear.take_expired(i);
                    expired.sort_unstable();
                    expected.sort_unstable();
                    expired == expected
                }
            };
            if !same || ranked.len() != linear.entries.len() {
                return false;
            }
        }
        true
    }

    /// No request is lost or served twice, whatever its rank: each is popped, shed, expired or
    /// removed exactly once.
    fn every_request_leaves_the_queue_exactly_once(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut queue = RankedQueue::new(5);
        let mut left = Vec::new();
        let mut pushed = 0;
        for (i, (kind, workspace, rank)) in steps.iter().enumerate() {
            let i = i as u64;
            match kind % 6 {
                0..=2 => {
                    pushed += 1;
                    let rank = u32::from(rank % 4);
                    let rate = f64::from(workspace % 4);
                    let mut req = request(&format!("w{}", workspace % 4), rate, i + 9, i);
                    req.resent_early = workspace % 5 == 0;
                    queue.record_offered(rank, at(i));
                    let shed = queue.push(QueueId(i), rank, req, at(i));
                    left.extend(shed.map(|(_, r)| r.item));
                }
                3 => left.extend(queue.pop(at(i)).map(|(_, r)| r.item)),
                4 => {
                    let id = i.saturating_sub(u64::from(*rank) % 8);
                    left.extend(queue.remove(QueueId(id), at(i)).map(|r| r.item));
                }
                _ => left.extend(queue.take_expired(at(i), at(i)).iter().map(|(_, r)| r.item)),
            }
        }
        let gone = left.len();
        left.sort_unstable();
        left.dedup();
        queue.len() <= 5 && left.len() == gone && pushed == gone + queue.len()
    }
}

/// A queued request of a case: workspace, rate, rank, deadline in ms, and whether it was resent.
struct Arrival(&'static str, f64, u32, u64, bool);

#[test]
fn requests_are_served_by_rank_then_share_then_deadline() {
    struct Case {
        /// The load that the order answers.
        load: &'static str,
        arrivals: &'static [Arrival],
        /// Indices of the arrivals in the order of service.
        order: &'static [u64],
    }
    let cases = [
        Case {
            load: "an urgent request behind a backlog",
            arrivals: &[
                Arrival("a", 1.0, 2, 1000, false),
                Arrival("a", 1.0, 1, 1000, false),
                Arrival("a", 1.0, 0, 1000, false),
            ],
            order: &[2, 1, 0],
        },
        Case {
            load: "two workspaces of one rank, one with twice the rate",
            arrivals: &[
                Arrival("a", 2.0, 1, 1000, false),
                Arrival("a", 2.0, 1, 1000, false),
                Arrival("a", 2.0, 1, 1000, false),
                Arrival("b", 1.0, 1, 1000, false),
            ],
            order: &[0, 1, 3, 2],
        },
        Case {
            load: "equal shares and different deadlines",
            arrivals: &[
                Arrival("a", 1.0, 1, 3000, false),
                Arrival("b", 1.0, 1, 1000, false),
                Arrival("c", 1.0, 1, 2000, false),
            ],
            order: &[1, 2, 0],
        },
        Case {
            load: "a client that does not wait, beside others of its rank and of the next",
            arrivals: &[
                Arrival("a", 9.0, 1, 1000, true),
                Arrival("b", 1.0, 1, 1000, false),
                Arrival("c", 1.0, 2, 1000, false),
            ],
            order: &[1, 0, 2],
        },
        Case {
            load: "a workspace without a rate before others have arrived",
            arrivals: &[
                Arrival("", 0.0, 1, 1000, false),
                Arrival("", 0.0, 1, 1000, false),
                Arrival("a", 50.0, 1, 1000, false),
                Arrival("a", 50.0, 1, 1000, false),
                Arrival("a", 50.0, 1, 1000, false),
            ],
            order: &[0, 2, 1, 3, 4],
        },
        Case {
            load: "a workspace without a rate beside two with a mean rate of 50",
            arrivals: &[
                Arrival("a", 20.0, 1, 1000, false),
                Arrival("b", 80.0, 1, 1000, false),
                Arrival("b", 80.0, 1, 1000, false),
                Arrival("", 0.0, 1, 1000, false),
                Arrival("", 0.0, 1, 1000, false),
            ],
            order: &[1, 3, 2, 4, 0],
        },
    ];
    for case in &cases {
        let mut queue = RankedQueue::new(16);
        for (i, Arrival(workspace, rate, rank, deadline, resent)) in
            case.arrivals.iter().enumerate()
        {
            let mut req = request(workspace, *rate, *deadline, i as u64);
            req.resent_early = *resent;
            assert!(queue.push(QueueId(i as u64), *rank, req, at(0)).is_none());
        }
        let served = std::iter::from_fn(|| queue.pop(at(0)));
        let order: Vec<u64> = served.map(|(_, r)| r.item).collect();
        assert_eq!(order, case.order, "{}", case.load);
    }
}

/// Guards against an urgent request that is turned away while the queue is full of less urgent
/// ones, and against one that displaces what a less urgent rank is owed.
#[test]
fn full_queue_sheds_the_least_urgent_request_that_is_not_owed() {
    let mut queue = RankedQueue::new(4);
    for id in 0..4 {
        assert!(queue
            .push(QueueId(id), 2, request("a", 1.0, 1000, id), at(0))
            .is_none());
    }
    for (id, shed) in [(4, 3), (5, 2)] {
        let res = queue.push(QueueId(id), 0, request("b", 1.0, 1000, id), at(0));
        assert_eq!(res.map(|(rank, r)| (rank, r.item)), Some((2, shed)));
    }
    let res = queue.push(QueueId(6), 3, request("c", 1.0, 1000, 6), at(0));
    assert_eq!(res.map(|(rank, r)| (rank, r.item)), Some((3, 6)));
    // A rank is owed a little more than a quarter of its requests while all are served.
    for _ in 0..12 {
        queue.record_offered(2, at(0));
        queue.record_served_directly(1, at(0));
    }
    let res = queue.push(QueueId(7), 0, request("b", 1.0, 1000, 7), at(0));
    assert_eq!(res.map(|(rank, r)| (rank, r.item)), Some((0, 7)));
    let next = queue.pop(at(0)).map(|(rank, r)| (rank, r.item));
    assert_eq!(
        next,
        Some((2, 0)),
        "an owed request is served before urgent ones"
    );
}

/// Guards against a cost that grows with the length of the queue, as that of the linear search did:
/// 64 times the length must not cost more than 8 times the time for each request.
#[test]
fn cost_of_a_request_does_not_grow_with_the_length() {
    const ROUNDS: u64 = 20_000;
    let cost = |len: u64| {
        let mut queue = RankedQueue::new(len as usize);
        let mut id = 0;
        let push = |queue: &mut RankedQueue<u64>, id: &mut u64| {
            let name = format!("w{}", *id % 97);
            let req = request(
                &name,
                (1 + *id % 13) as f64,
                10_000 + *id * 7919 % 5000,
                *id,
            );
            queue.push(QueueId(*id), (*id % 5) as u32, req, at(0));
            *id += 1;
        };
        for _ in 0..len {
            push(&mut queue, &mut id);
        }
        let started = Instant::now();
        for _ in 0..ROUNDS {
            push(&mut queue, &mut id);
            queue.remove(QueueId(id - len / 2), at(0));
            queue.pop(at(0));
            push(&mut queue, &mut id);
        }
        started.elapsed()
    };
    let best = |len: u64| (0..3).map(|_| cost(len)).min().unwrap();
    let (short, long) = (best(1024), best(65_536));
    assert!(long < short * 8, "{short:?} at 1,024, {long:?} at 65,536");
}
