//! Assignment of targets to requests, with a queue per service for requests that must wait.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{
    clock::BootTime,
    queue::{QueueId, QueuedRequest, RankedQueue},
};

use super::{
    AttemptId, Balancer, Choice, PickError, PickRequest, QueueRejection, RejectionReason, TargetId,
};

/// Maximum number of requests that wait for a target of one service.
const QUEUE_CAPACITY: usize = 256;
/// Divisor of the mean latency that gives the minimum time left before the deadline for a queued
/// request; one with less time left is shed.
const MIN_TIME_LEFT_DIVISOR: u32 = 2;
/// Multiple of the estimated wait within which the deadline must lie. At 1.0, one in seven requests
/// rejected at 3 times the capacity had waited in vain: requests that arrive after one of their
/// workspace has expired overtake those that were counted on.
const WAIT_MARGIN: f64 = 1.1;
/// Wait of a rejected client if the rate at which its rank is served is unknown.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Shortest wait of a rejected client; the rate is an average over seconds.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest wait of a rejected client, which would otherwise return long after the load has changed.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// A request that needs a target.
#[derive(Debug, Clone)]
pub struct ScheduleRequest {
    /// Name of the service.
    pub service: Rc<str>,
    /// Workspace of the request.
    pub workspace: Rc<str>,
    /// Rate of the workspace's plan, in 1/s; zero if it has none.
    pub rate_per_s: f64,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// Whether a client sent the request again without waiting for as long as it was told to.
    pub resent_early: bool,
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
    id: QueueId,
    req: ScheduleRequest,
    item: T,
}

/// Numbers of requests by what the queues did with them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueCounts {
    /// Requests that had to wait.
    pub queued: u64,
    /// Requests shed by a full queue.
    pub shed: u64,
    /// Requests rejected on arrival, as their turn was not expected before their deadline.
    pub hopeless: u64,
    /// Requests that waited until too little time was left.
    pub expired: u64,
    /// Requests removed because their caller disconnected.
    pub abandoned: u64,
    /// Requests served before more urgent ones, as their rank was owed them.
    pub out_of_turn: u64,
    /// Requests that clients sent again without waiting.
    pub resent_early: u64,
}

/// Assigns targets to requests, and queues the requests while all targets of their service are
/// busy.
pub struct Scheduler<T> {
    /// Balancer that chooses the targets.
    pub balancer: Balancer,
    queues: FxHashMap<Rc<str>, RankedQueue<PendingRequest<T>>>,
    counts: QueueCounts,
}

impl<T> Scheduler<T> {
    /// Creates a scheduler without queued requests.
    pub fn new(balancer: Balancer) -> Self {
        Self {
            balancer,
            queues: FxHashMap::default(),
            counts: QueueCounts::default(),
        }
    }

    /// Returns what the queues did with the requests so far.
    pub fn counts(&self) -> QueueCounts {
        self.counts
    }

    /// Submits a request. It is decided immediately unless all targets are busy or other requests
    /// are queued. Identities increase with each request.
    ///
    /// The returned decision may be that on a less urgent request, which this one displaced.
    pub fn submit(
        &mut self,
        id: QueueId,
        req: ScheduleRequest,
        item: T,
        now: BootTime,
    ) -> Option<Decision<T>> {
        let queue = self.queues.get(&req.service);
        if queue.is_none_or(RankedQueue::is_empty) {
            match self.pick(&req, now) {
                Err(PickError::Busy) => {}
                res => {
                    if res.is_ok() {
                        let queue = self.queue(&req.service);
                        queue.record_offered(req.rank, now);
                        queue.record_served_directly(req.rank, now);
                    }
                    return Some(Decision { item, res });
                }
            }
        }
        self.enqueue(PendingRequest { id, req, item }, now)
    }

    /// Picks a target for the second attempt of a hedged request; `None` if none has spare capacity,
    /// or while other requests wait.
    pub fn pick_hedge(&mut self, service: &str, first: TargetId, now: BootTime) -> Option<Choice> {
        let queue = self.queues.get(service);
        if !queue.is_none_or(RankedQueue::is_empty) {
            return None;
        }
        self.balancer.pick_hedge(service, first, now)
    }

    /// Removes a queued request whose caller disconnected; nothing happens if it is not queued.
    pub fn cancel(&mut self, service: &str, id: QueueId, now: BootTime) {
        let queue = self.queues.get_mut(service);
        if queue.and_then(|q| q.remove(id, now)).is_some() {
            self.counts.abandoned += 1;
        }
    }

    fn queue(&mut self, service: &Rc<str>) -> &mut RankedQueue<PendingRequest<T>> {
        let queue = self.queues.entry(service.clone());
        queue.or_insert_with(|| RankedQueue::new(QUEUE_CAPACITY))
    }

    fn pick(&mut self, req: &ScheduleRequest, now: BootTime) -> Result<Choice, PickError> {
        let req = PickRequest {
            service: &req.service,
            avoid: &req.avoid,
            repeatable: req.repeatable,
        };
        self.balancer.pick(&req, now)
    }

    fn enqueue(&mut self, pending: PendingRequest<T>, now: BootTime) -> Option<Decision<T>> {
        let (id, rank, service) = (pending.id, pending.req.rank, pending.req.service.clone());
        let min_time_left = self.min_time_left(&service, now);
        self.counts.resent_early += u64::from(pending.req.resent_early);
        let queue = self.queue(&service);
        queue.record_offered(rank, now);
        let queued = QueuedRequest {
            workspace: pending.req.workspace.clone(),
            rate_per_s: pending.req.rate_per_s,
            deadline: pending.req.deadline,
            resent_early: pending.req.resent_early,
            item: pending,
        };
        let wait = queue.estimate_wait(rank, &queued, now);
        if wait
            .is_some_and(|wait| now + wait.mul_f64(WAIT_MARGIN) + min_time_left >= queued.deadline)
        {
            let error = rejection(queue, RejectionReason::TurnTooLate, rank, now);
            self.counts.hopeless += 1;
            return Some(rejected(queued, error));
        }
        let shed = queue.push(id, rank, queued, now);
        let shed = shed.map(|(rank, req)| {
            let error = rejection(queue, RejectionReason::QueueFull, rank, now);
            rejected(req, error)
        });
        self.counts.queued += 1;
        self.counts.shed += u64::from(shed.is_some());
        shed
    }

    /// Returns the time before its deadline at which a queued request is shed.
    fn min_time_left(&self, service: &str, now: BootTime) -> Duration {
        self.balancer.mean_latency(service, now) / MIN_TIME_LEFT_DIVISOR
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
        let limit = now + self.min_time_left(service, now);
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        for (rank, queued) in queue.take_expired(limit, now) {
            self.counts.expired += 1;
            let error = rejection(queue, RejectionReason::Expired, rank, now);
            decisions.push(rejected(queued, error));
        }
    }

    /// Assigns targets to the queued requests of a service until all targets are busy.
    fn serve_queue(&mut self, service: &str, now: BootTime, decisions: &mut Vec<Decision<T>>) {
        self.shed_late(service, now, decisions);
        loop {
            let queue = self.queues.get(service);
            let Some(first) = queue.and_then(RankedQueue::peek) else {
                return;
            };
            let (id, req) = (first.item.id, first.item.req.clone());
            let res = self.pick(&req, now);
            if matches!(res, Err(PickError::Busy)) {
                return;
            }
            let Some(queue) = self.queues.get_mut(service) else {
                return;
            };
            let first = if res.is_ok() {
                self.counts.out_of_turn += u64::from(queue.is_next_out_of_turn());
                queue.pop(now).map(|(_, req)| req)
            } else {
                queue.remove(id, now)
            };
            decisions.extend(first.map(|first| Decision {
                item: first.item.item,
                res,
            }));
        }
    }
}

fn rejection<T>(
    queue: &RankedQueue<T>,
    reason: RejectionReason,
    rank: u32,
    now: BootTime,
) -> QueueRejection {
    let wait = queue.estimate_drain(rank, now);
    let wait = wait.unwrap_or(DEFAULT_RETRY_AFTER);
    QueueRejection {
        reason,
        retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}

fn rejected<T>(queued: QueuedRequest<PendingRequest<T>>, rejection: QueueRejection) -> Decision<T> {
    Decision {
        item: queued.item.item,
        res: Err(PickError::Overloaded(rejection)),
    }
}
