//! Choice of targets for requests, some of which wait for one.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::{
    clock::BootTime,
    queue::{FairQueue, QueueFull, QueuedRequest},
};

use super::{AttemptId, Balancer, Choice, PickError, PickRequest, TargetId};

/// Requests that may wait for a target of one service.
const QUEUE_CAPACITY: usize = 256;
/// Part of the mean latency that must be left before the deadline when a waiting request is sent.
const NEEDED_DIVISOR: u32 = 2;

/// The order of a target for one request.
#[derive(Debug, Clone)]
pub struct ScheduleRequest {
    /// The service.
    pub service: Rc<str>,
    /// Workspace of the request.
    pub workspace: Rc<str>,
    /// Rate of the workspace's plan, 1/s.
    pub rate_per_s: f64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// When the request is no longer worth running.
    pub deadline: BootTime,
    /// Targets that were tried already.
    pub avoid: Vec<TargetId>,
}

/// A request whose target, or lack of one, is decided.
pub struct Decision<T> {
    /// Whatever the request was ordered with.
    pub item: T,
    /// The target.
    pub res: Result<Choice, PickError>,
}

struct Order<T> {
    order: ScheduleRequest,
    item: T,
}

/// Knows the balancer and the requests that wait because all targets are busy.
pub struct Scheduler<T> {
    /// The balancer.
    pub balancer: Balancer,
    queues: FxHashMap<Rc<str>, FairQueue<Order<T>>>,
    queued: u64,
}

impl<T> Scheduler<T> {
    /// Makes a scheduler without waiting requests.
    pub fn new(balancer: Balancer) -> Self {
        Self {
            balancer,
            queues: FxHashMap::default(),
            queued: 0,
        }
    }

    /// Returns how many requests had to wait so far.
    pub fn queued(&self) -> u64 {
        self.queued
    }

    /// Takes an order; it is decided at once unless all targets are busy or others wait.
    pub fn submit(
        &mut self,
        order: ScheduleRequest,
        item: T,
        now: BootTime,
    ) -> Option<Decision<T>> {
        let waiting = self.queues.get(&order.service);
        if waiting.is_none_or(FairQueue::is_empty) {
            match self.pick(&order, now) {
                Err(PickError::Busy) => {}
                res => return Some(Decision { item, res }),
            }
        }
        self.enqueue(Order { order, item })
    }

    fn pick(&mut self, order: &ScheduleRequest, now: BootTime) -> Result<Choice, PickError> {
        let req = PickRequest {
            service: &order.service,
            avoid: &order.avoid,
            repeatable: order.repeatable,
        };
        self.balancer.pick(&req, now)
    }

    fn enqueue(&mut self, order: Order<T>) -> Option<Decision<T>> {
        self.queued += 1;
        let queue = self
            .queues
            .entry(order.order.service.clone())
            .or_insert_with(|| FairQueue::new(QUEUE_CAPACITY));
        let waiting = QueuedRequest {
            workspace: order.order.workspace.clone(),
            rate_per_s: order.order.rate_per_s,
            deadline: order.order.deadline,
            item: order,
        };
        let QueueFull(shed) = queue.push(waiting).err()?;
        Some(Decision {
            item: shed.item.item,
            res: Err(PickError::Overloaded),
        })
    }

    /// Ends a request in flight, and decides those that waited for this.
    pub fn release(&mut self, id: TargetId, attempt: AttemptId, now: BootTime) -> Vec<Decision<T>> {
        self.balancer.release(id, attempt);
        let service = self.balancer.target(id).map(|t| t.service);
        let service = service.and_then(|s| self.balancer.service(s));
        let mut decided = Vec::new();
        if let Some(name) = service.map(|s| s.name.clone()) {
            self.serve(&name, now, &mut decided);
        }
        decided
    }

    /// Looks at what is overdue, and decides waiting requests whose deadline passed or for which
    /// there is room by now.
    pub fn tick(&mut self, now: BootTime) -> Vec<Decision<T>> {
        self.balancer.tick(now);
        let mut decided = Vec::new();
        let waiting = self.queues.iter().filter(|(_, q)| !q.is_empty());
        let services: Vec<Rc<str>> = waiting.map(|(s, _)| s.clone()).collect();
        for service in services {
            self.serve(&service, now, &mut decided);
        }
        decided
    }

    /// Sheds the waiting requests that have too little time left for an answer.
    fn shed_late(&mut self, service: &str, now: BootTime, decided: &mut Vec<Decision<T>>) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        let needed = self.balancer.mean_latency(service, now) / NEEDED_DIVISOR;
        let late = queue.take_expired(now + needed).into_iter();
        decided.extend(late.map(|waiting| Decision {
            item: waiting.item.item,
            res: Err(PickError::Overloaded),
        }));
    }

    /// Gives targets to the waiting requests of a service until all targets are busy.
    fn serve(&mut self, service: &str, now: BootTime, decided: &mut Vec<Decision<T>>) {
        self.shed_late(service, now, decided);
        loop {
            let queue = self.queues.get(service);
            let Some(first) = queue.and_then(FairQueue::peek) else {
                return;
            };
            let order = first.item.order.clone();
            let res = self.pick(&order, now);
            if matches!(res, Err(PickError::Busy)) {
                return;
            }
            let first = self.queues.get_mut(service).and_then(FairQueue::pop);
            if let Some(first) = first {
                let item = first.item.item;
                decided.push(Decision { item, res });
            }
        }
    }
}
