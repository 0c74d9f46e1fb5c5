//! The queue is fair among workspaces and loses no request.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use chervillug::{
    clock::BootTime,
    queue::{FairQueue, QueueFull, QueuedRequest},
};
use quickcheck::quickcheck;

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(ms))
}

fn queued_request(workspace: &str, rate_per_s: f64, deadline: BootTime) -> QueuedRequest<()> {
    QueuedRequest {
        workspace: Rc::from(workspace),
        rate_per_s,
        deadline,
        resent_early: false,
        item: (),
    }
}

/// Load of one workspace.
struct Load {
    workspace: &'static str,
    /// Rate of its plan, in 1/s.
    plan_per_s: f64,
    /// Rate of its requests, in 1/s.
    requested_per_s: f64,
}

/// Simulates the queue for 60 s in front of a server that serves `capacity` requests per second.
/// Returns the share of its entitlement that each workspace was served: the rate of its plan, or
/// the rate of its requests if that is lower.
fn served_shares(loads: &[Load], capacity: f64) -> BTreeMap<&'static str, f64> {
    const RUN_MS: u64 = 60_000;
    let mut queue = FairQueue::new(64);
    let mut due: Vec<f64> = loads.iter().map(|_| 0.0).collect();
    let mut next_serve_ms = 0.0;
    let mut counts: BTreeMap<&str, f64> = BTreeMap::new();
    for ms in 0..RUN_MS {
        for (load, due) in loads.iter().zip(&mut due) {
            while *due <= ms as f64 {
                *due += 1000.0 / load.requested_per_s;
                let _ = queue.push(queued_request(
                    load.workspace,
                    load.plan_per_s,
                    at(ms + 1000),
                ));
            }
        }
        queue.take_expired(at(ms));
        while next_serve_ms <= ms as f64 {
            next_serve_ms += 1000.0 / capacity;
            if let Some(next) = queue.pop() {
                let load = loads.iter().find(|l| *l.workspace == *next.workspace);
                *counts.entry(load.expect("a load").workspace).or_default() += 1.0;
            }
        }
    }
    let share = |l: &Load| {
        let entitled = l.plan_per_s.min(l.requested_per_s) * RUN_MS as f64 / 1000.0;
        (
            l.workspace,
            counts.get(l.workspace).unwrap_or(&0.0) / entitled,
        )
    };
    loads.iter().map(share).collect()
}

#[test]
fn workspace_above_its_rate_does_not_affect_others() {
    struct Case {
        name: &'static str,
        loads: Vec<Load>,
    }
    let load = |workspace, plan_per_s, requested_per_s| Load {
        workspace,
        plan_per_s,
        requested_per_s,
    };
    let cases = [
        Case {
            name: "large workspace above its rate",
            loads: vec![
                load("large", 40.0, 200.0),
                load("medium", 20.0, 20.0),
                load("small", 2.0, 2.0),
            ],
        },
        Case {
            name: "small workspace above its rate",
            loads: vec![
                load("large", 40.0, 40.0),
                load("medium", 20.0, 20.0),
                load("small", 2.0, 10.0),
            ],
        },
        Case {
            name: "two workspaces above their rates",
            loads: vec![
                load("large", 40.0, 200.0),
                load("medium", 20.0, 100.0),
                load("small", 2.0, 2.0),
            ],
        },
    ];
    for case in &cases {
        let plans: f64 = case.loads.iter().map(|l| l.plan_per_s).sum();
        for (workspace, share) in served_shares(&case.loads, plans * 1.05) {
            assert!(share >= 0.99, "{}: {workspace} {share}", case.name);
        }
    }
}

quickcheck! {
    /// No queued request is lost: each one is popped, shed or expired exactly once.
    fn every_request_leaves_queue_exactly_once(steps: Vec<(u8, u8)>) -> bool {
        let mut queue = FairQueue::new(5);
        let (mut pushed, mut removed) = (0, 0);
        for (i, (kind, workspace)) in steps.iter().enumerate() {
            let now = at(i as u64);
            match kind % 4 {
                0 | 1 => {
                    pushed += 1;
                    let deadline = at(i as u64 + u64::from(workspace % 8));
                    let name = format!("w{}", workspace % 3);
                    let req = queued_request(&name, f64::from(workspace % 5), deadline);
                    removed += usize::from(matches!(queue.push(req), Err(QueueFull(_))));
                }
                2 => removed += usize::from(queue.pop().is_some()),
                _ => removed += queue.take_expired(now).len(),
            }
        }
        queue.len() <= 5 && pushed == removed + queue.len()
    }
}
