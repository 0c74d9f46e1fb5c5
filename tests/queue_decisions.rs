//! Single decisions of the scheduler on requests that wait, in virtual time.

mod queue_fixture;

use std::collections::BTreeMap;

use chervillug::{
    health::{Choice, Scheduler},
    queue::QueueId,
};

use queue_fixture::{at, balancer, schedule_request, SLOTS, TARGETS};

/// Time that a target takes for a request, ms.
const WORK_MS: u64 = 50;

/// Guards against a rate of zero that is measured before any request can have ended: targets that
/// take a second for a request, and a burst of 1.5 times the slots with a timeout of 5 s.
#[test]
fn burst_before_slow_targets_waits_for_the_first_responses() {
    let mut scheduler = Scheduler::new(balancer());
    let mut running = Vec::new();
    for id in 0..(TARGETS as u64 * u64::from(SLOTS)) {
        let decision = scheduler.submit(QueueId(id), schedule_request("a", 0, 5000), id, at(0));
        running.push(decision.expect("a decision").res.expect("a target"));
    }
    for id in 100..130 {
        let now = (id - 100) * 30;
        let req = schedule_request("a", 0, now + 5000);
        let decision = scheduler.submit(QueueId(id), req, id, at(now));
        let rejection = decision.map(|d| d.res);
        assert!(rejection.is_none(), "at {now} ms: {rejection:?}");
        assert!(scheduler.tick(at(now + 10)).is_empty());
    }
    let released = running
        .iter()
        .flat_map(|c| scheduler.release(c.id, c.attempt, at(1000)));
    assert_eq!(released.filter(|d| d.res.is_ok()).count(), running.len());
}

/// Guards against a queued request that is sent to a target after its caller has left.
#[test]
fn cancelled_request_is_never_sent() {
    let mut scheduler = Scheduler::new(balancer());
    let mut running = Vec::new();
    for id in 0..(TARGETS as u64 * u64::from(SLOTS)) {
        let req = schedule_request("a", 0, 5000);
        let decision = scheduler.submit(QueueId(id), req, id, at(0));
        running.push(decision.expect("a decision").res.expect("a target"));
    }
    for id in 100..110 {
        let req = schedule_request("a", 0, 5000);
        assert!(scheduler.submit(QueueId(id), req, id, at(0)).is_none());
    }
    for id in (100..110).filter(|id| id % 2 == 0) {
        scheduler.cancel("one", QueueId(id), at(1));
    }
    scheduler.cancel("one", QueueId(0), at(1));
    scheduler.cancel("other", QueueId(101), at(1));
    let released = running
        .iter()
        .flat_map(|c| scheduler.release(c.id, c.attempt, at(2)));
    let sent: Vec<u64> = Vec::from_iter(released.map(|d| d.item));
    assert_eq!(sent, [101, 103, 105, 107, 109]);
    assert_eq!(scheduler.counts().abandoned, 5);
}

/// Guards a workspace without a rate, as on public routes, against starvation by one with a rate
/// of the same rank that takes twice the capacity.
#[test]
fn workspace_without_a_rate_gets_the_share_of_a_mean_one() {
    let mut scheduler = Scheduler::new(balancer());
    let mut ends: BTreeMap<u64, Vec<Choice>> = BTreeMap::new();
    let mut served = BTreeMap::from([("", 0), ("a", 0)]);
    let names = ["", "a", "a", "a"];
    for id in 0..10_000 {
        let now = id;
        let mut decisions = Vec::new();
        for choice in ends.remove(&now).unwrap_or_default() {
            decisions.extend(scheduler.release(choice.id, choice.attempt, at(now)));
        }
        // One request per ms is 2.5 times the capacity; a quarter of them has no rate.
        let name = names[id as usize % names.len()];
        let mut req = schedule_request(name, 0, now + 1000);
        req.rate_per_s = if name.is_empty() { 0.0 } else { 100.0 };
        decisions.extend(scheduler.submit(QueueId(id), req, id, at(now)));
        for decision in decisions {
            if let Ok(choice) = decision.res {
                let name = names[decision.item as usize % names.len()];
                *served.get_mut(name).unwrap() += 1;
                ends.entry(now + WORK_MS).or_default().push(choice);
            }
        }
    }
    // Equal weights, so that all of its 250 requests per second fit into half of the capacity less
    // what it loses to full queues.
    let share = f64::from(served[""]) / (f64::from(served[""] + served["a"]));
    assert!((0.45..=0.55).contains(&share), "{share}, {served:?}");
}
