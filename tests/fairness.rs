//! The queue is fair among workspaces and truthful about what did not run.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use chervillug::{
    clock::BootTime,
    queue::{FairQueue, QueueFull, QueuedRequest},
};
use quickcheck::quickcheck;

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(ms))
}

fn waiting(workspace: &str, rate_per_s: f64, deadline: BootTime) -> QueuedRequest<()> {
    QueuedRequest {
        workspace: Rc::from(workspace),
        rate_per_s,
        deadline,
        item: (),
    }
}

/// One workspace at the queue.
struct Load {
    workspace: &'static str,
    /// Rate of its plan, 1/s.
    plan: f64,
    /// Rate at which it asks, 1/s.
    asked: f64,
}

/// Runs the queue for 60 s in front of a server of `capacity` requests a second, and returns the
/// share of its plan, or of what it asked when that is less, that each workspace got.
fn served(loads: &[Load], capacity: f64) -> BTreeMap<&'static str, f64> {
    const RUN_MS: u64 = 60_000;
    let mut queue = FairQueue::new(64);
    let mut due: Vec<f64> = loads.iter().map(|_| 0.0).collect();
    let mut next_service = 0.0;
    let mut counts: BTreeMap<&str, f64> = BTreeMap::new();
    for ms in 0..RUN_MS {
        for (load, due) in loads.iter().zip(&mut due) {
            while *due <= ms as f64 {
                *due += 1000.0 / load.asked;
                let _ = queue.push(waiting(load.workspace, load.plan, at(ms + 1000)));
            }
        }
        queue.take_expired(at(ms));
        while next_service <= ms as f64 {
            next_service += 1000.0 / capacity;
            if let Some(next) = queue.pop() {
                let load = loads.iter().find(|l| *l.workspace == *next.workspace);
                *counts.entry(load.expect("a load").workspace).or_default() += 1.0;
            }
        }
    }
    let share = |l: &Load| {
        let due = l.plan.min(l.asked) * RUN_MS as f64 / 1000.0;
        (l.workspace, counts.get(l.workspace).unwrap_or(&0.0) / due)
    };
    loads.iter().map(share).collect()
}

#[test]
fn neighbour_above_its_rate_hurts_nobody() {
    struct Case {
        name: &'static str,
        loads: Vec<Load>,
    }
    let load = |workspace, plan, asked| Load {
        workspace,
        plan,
        asked,
    };
    let cases = [
        Case {
            name: "large neighbour",
            loads: vec![
                load("large", 40.0, 200.0),
                load("middle", 20.0, 20.0),
                load("small", 2.0, 2.0),
            ],
        },
        Case {
            name: "small neighbour",
            loads: vec![
                load("large", 40.0, 40.0),
                load("middle", 20.0, 20.0),
                load("small", 2.0, 10.0),
            ],
        },
        Case {
            name: "two neighbours",
            loads: vec![
                load("large", 40.0, 200.0),
                load("middle", 20.0, 100.0),
                load("small", 2.0, 2.0),
            ],
        },
    ];
    for case in &cases {
        let plans: f64 = case.loads.iter().map(|l| l.plan).sum();
        for (workspace, share) in served(&case.loads, plans * 1.05) {
            assert!(share >= 0.99, "{}: {workspace} {share}", case.name);
        }
    }
}

quickcheck! {
    /// Nothing that waits gets lost: each request is popped, shed or expired exactly once.
    fn every_request_leaves_once(steps: Vec<(u8, u8)>) -> bool {
        let mut queue = FairQueue::new(5);
        let (mut pushed, mut left) = (0, 0);
        for (i, (kind, who)) in steps.iter().enumerate() {
            let now = at(i as u64);
            match kind % 4 {
                0 | 1 => {
                    pushed += 1;
                    let deadline = at(i as u64 + u64::from(who % 8));
                    let entry = waiting(&format!("w{}", who % 3), f64::from(who % 5), deadline);
                    left += usize::from(matches!(queue.push(entry), Err(QueueFull(_))));
                }
                2 => left += usize::from(queue.pop().is_some()),
                _ => left += queue.take_expired(now).len(),
            }
        }
        queue.len() <= 5 && pushed == left + queue.len()
    }
}
