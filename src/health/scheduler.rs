//! Assignment of targets to requests, with a queue per service for requests that must wait.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::{
    clock::BootTime,
    queue::{FairQueue, QueueFull, QueuedRequest},
};

use super::{AttemptId, Balancer, Choice, PickError, PickRequest, TargetId};

/// Maximum number of requests that wait for a target of one service.
const QUEUE_CAPACITY: usize = 256;
/// Divisor of the mean latency that gives the minimum time left before the deadline for a queued
/// request; one with less time left is shed.
const MIN_TIME_LEFT_DIVISOR: u32 = 2;

/// A request that needs a target.
#[derive(Debug, Clone)]
pub struct ScheduleRequest {
    /// Name of the service.
    pub service: Rc<str>,
    /// Workspace of the request.
    pub workspace: Rc<str>,
    /// Rate of the workspace's plan, in 1/s.
    pub rate_per_s: f64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time after which the request is not worth running.
    pub deadline: BootTime,
    /// Targets of earlier attempts, which are avoided if possible.
    pub avoid: Vec<TargetId>,
}

/// The result of scheduling a request.
pub struct Decision<T> {
    /// Item that was submitted with the request.
    pub item: T,
    /// Chosen target, or why there is none.
    pub res: Result<Choice, PickError>,
}

struct PendingRequest<T> {
    req: ScheduleRequest,
    item: T,
}

/// Assigns targets to requests, and queues the requests while all targets of their service are
/// busy.
pub struct Scheduler<T> {
    /// Balancer that chooses the targets.
    pub balancer: Balancer,
    queues: FxHashMap<Rc<str>, FairQueue<PendingRequest<T>>>,
    queued: u64,
}

impl<T> Scheduler<T> {
    /// Creates a scheduler without queued requests.
    pub fn new(balancer: Balancer) -> Self {
        Self {
            balancer,
            queues: FxHashMap::default(),
            queued: 0,
        }
    }

    /// Returns the number of requests that had to wait so far.
    pub fn queued(&self) -> u64 {
        self.queued
    }

    /// Submits a request. It is decided immediately unless all targets are busy or other requests
    /// are queued.
    pub fn submit(&mut self, req: ScheduleRequest, item: T, now: BootTime) -> Option<Decision<T>> {
        let queue = self.queues.get(&req.service);
        if queue.is_none_or(FairQueue::is_empty) {
            match self.pick(&req, now) {
                Err(PickError::Busy) => {}
                res => return Some(Decision { item, res }),
            }
        }
        self.enqueue(PendingRequest { req, item })
    }

    fn pick(&mut self, req: &ScheduleRequest, now: BootTime) -> Result<Choice, PickError> {
        let req = PickRequest {
            service: &req.service,
            avoid: &req.avoid,
            repeatable: req.repeatable,
        };
        self.balancer.pick(&req, now)
    }

    fn enqueue(&mut self, pending: PendingRequest<T>) -> Option<Decision<T>> {
        self.queued += 1;
        let queue = self
            .queues
            .entry(pending.req.service.clone())
            .or_insert_with(|| FairQueue::new(QUEUE_CAPACITY));
        let queued = QueuedRequest {
            workspace: pending.req.workspace.clone(),
            rate_per_s: pending.req.rate_per_s,
            deadline: pending.req.deadline,
            item: pending,
        };
        let QueueFull(shed) = queue.push(queued).err()?;
        Some(Decision {
            item: shed.item.item,
            res: Err(PickError::Overloaded),
        })
    }

    /// Ends a request in flight, and serves the queue of its service.
    pub fn release(&mut self, id: TargetId, attempt: AttemptId, now: BootTime) -> Vec<Decision<T>> {
        self.balancer.release(id, attempt);
        let service = self.balancer.target(id).map(|t| t.service);
        let service = service.and_then(|s| self.balancer.service(s));
        let mut decisions = Vec::new();
        if let Some(name) = service.map(|s| s.name.clone()) {
            self.serve_queue(&name, now, &mut decisions);
        }
        decisions
    }

    /// Detects overdue requests, and serves all queues: sheds the requests with too little time
    /// left, and assigns targets to others.
    pub fn tick(&mut self, now: BootTime) -> Vec<Decision<T>> {
        self.balancer.tick(now);
        let mut decisions = Vec::new();
        let non_empty = self.queues.iter().filter(|(_, q)| !q.is_empty());
        let services: Vec<Rc<str>> = non_empty.map(|(s, _)| s.clone()).collect();
        for service in services {
            self.serve_queue(&service, now, &mut decisions);
        }
        decisions
    }

    /// Sheds the queued requests that have too little time left before their deadline.
    fn shed_late(&mut self, service: &str, now: BootTime, decisions: &mut Vec<Decision<T>>) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        let min_time_left = self.balancer.mean_latency(service, now) / MIN_TIME_LEFT_DIVISOR;
        let late = queue.take_expired(now + min_time_left).into_iter();
        decisions.extend(late.map(|queued| Decision {
            item: queued.item.item,
            res: Err(PickError::Overloaded),
        }));
    }

    /// Assigns targets to the queued requests of a service until all targets are busy.
    fn serve_queue(&mut self, service: &str, now: BootTime, decisions: &mut Vec<Decision<T>>) {
        self.shed_late(service, now, decisions);
        loop {
            let queue = self.queues.get(service);
            let Some(first) = queue.and_then(FairQueue::peek) else {
                return;
            };
            let req = first.item.req.clone();
            let res = self.pick(&req, now);
            if matches!(res, Err(PickError::Busy)) {
                return;
            }
            let first = self.queues.get_mut(service).and_then(FairQueue::pop);
            if let Some(first) = first {
                let item = first.item.item;
                decisions.push(Decision { item, res });
            }
        }
    }
}
