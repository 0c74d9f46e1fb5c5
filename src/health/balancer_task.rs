//! The task that owns the balancer.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use local_sync::{mpsc, oneshot};
use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::{
    clock::{BootTime, Clock},
    metrics::{Counter, Metrics},
    platform::ListedHost,
    queue::{FairQueue, QueueFull, Waiting},
};

use super::{
    Balancer, Choice, Observation, PickError, PickRequest, SuspicionEvent, TargetId, TargetState,
    Ticket,
};

/// Requests that may wait for a target of one service.
const QUEUE_CAPACITY: usize = 256;
/// Time between two looks at overdue requests and passed deadlines.
const TICK: Duration = Duration::from_millis(20);

/// The order of a target for one request.
#[derive(Debug, Clone)]
pub struct PickOrder {
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

/// A message to the task that owns the balancer.
pub enum BalancerMessage {
    /// Takes over the platform's list.
    SetTargets(Rc<Vec<ListedHost>>),
    /// Asks for a target.
    Pick {
        /// What the choice depends on.
        order: PickOrder,
        /// Takes the choice.
        reply: oneshot::Sender<Result<Picked, PickError>>,
    },
    /// Ends a request in flight.
    Release(TargetId, Ticket),
    /// Tells of one piece of work.
    Observe(TargetId, Ticket, Observation),
    /// Tells what a target said of itself.
    ReportState(TargetId, TargetState, Option<f64>),
    /// Tells that several daemons together suspect the target of this name.
    Advise(String),
    /// Asks for the targets to probe.
    Probes(oneshot::Sender<Vec<(TargetId, SocketAddr)>>),
    /// Tells how a probe ended.
    Probed {
        /// The target.
        id: TargetId,
        /// Whether it answered well.
        healthy: bool,
        /// What it said of itself.
        state: Option<TargetState>,
    },
    /// Looks at what is overdue.
    Tick,
    /// Asks for the status of all targets.
    Status(oneshot::Sender<Vec<TargetStatus>>),
}

/// The status of one target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests of this daemon in flight.
    pub in_flight: u32,
    /// Its suspicion; 1 and above is ejected, unless the floor keeps it.
    pub suspicion: f64,
}

/// A chosen target; dropping it ends the request in flight.
pub struct Picked {
    /// The target.
    pub id: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Its name.
    pub name: Rc<str>,
    ticket: Ticket,
    handle: BalancerHandle,
}

impl Picked {
    /// Tells how the work ended.
    pub fn observe(&self, obs: Observation) {
        self.handle
            .send(BalancerMessage::Observe(self.id, self.ticket, obs));
    }

    /// Tells what the target said of itself.
    pub fn report_state(&self, state: TargetState, load: Option<f64>) {
        self.handle
            .send(BalancerMessage::ReportState(self.id, state, load));
    }
}

impl Drop for Picked {
    fn drop(&mut self) {
        self.handle
            .send(BalancerMessage::Release(self.id, self.ticket));
    }
}

/// Sends messages to the task that owns the balancer.
#[derive(Clone)]
pub struct BalancerHandle {
    tx: mpsc::unbounded::Tx<BalancerMessage>,
}

impl BalancerHandle {
    /// Makes a handle that sends to the receiver of `tx`.
    pub fn new(tx: mpsc::unbounded::Tx<BalancerMessage>) -> Self {
        Self { tx }
    }

    /// Sends a message; it is lost when the daemon is ending.
    pub fn send(&self, msg: BalancerMessage) {
        let _ = self.tx.send(msg);
    }

    /// Asks for a target, and waits in the service's queue while all are busy.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn pick(&self, order: PickOrder) -> Result<Picked, PickError> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::Pick { order, reply });
        rx.await.unwrap_or(Err(PickError::NoTarget))
    }

    /// Asks for the targets to probe.
    pub async fn probes(&self) -> Vec<(TargetId, SocketAddr)> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::Probes(reply));
        rx.await.unwrap_or_default()
    }

    /// Asks for the status of all targets.
    pub async fn status(&self) -> Vec<TargetStatus> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::Status(reply));
        rx.await.unwrap_or_default()
    }
}

/// A request that waits for a target.
struct WaitingPick {
    order: PickOrder,
    reply: oneshot::Sender<Result<Picked, PickError>>,
}

struct BalancerTask {
    balancer: Balancer,
    queues: FxHashMap<Rc<str>, FairQueue<WaitingPick>>,
    handle: BalancerHandle,
    metrics: Rc<Metrics>,
    suspicions: mpsc::unbounded::Tx<SuspicionEvent>,
    ejections: u64,
}

/// Owns the balancer and the queues, and answers messages until all senders are gone.
pub async fn balancer_task(
    balancer: Balancer,
    mut rx: mpsc::unbounded::Rx<BalancerMessage>,
    handle: BalancerHandle,
    clock: Rc<dyn Clock>,
    metrics: Rc<Metrics>,
    suspicions: mpsc::unbounded::Tx<SuspicionEvent>,
) {
    monoio::spawn(tick_task(handle.clone()));
    let mut task = BalancerTask {
        balancer,
        queues: FxHashMap::default(),
        handle,
        metrics,
        suspicions,
        ejections: 0,
    };
    while let Some(msg) = rx.recv().await {
        task.handle(msg, clock.now());
    }
}

async fn tick_task(handle: BalancerHandle) {
    loop {
        monoio::time::sleep(TICK).await;
        handle.send(BalancerMessage::Tick);
    }
}

impl BalancerTask {
    fn handle(&mut self, msg: BalancerMessage, now: BootTime) {
        match msg {
            BalancerMessage::SetTargets(hosts) => {
                self.balancer.set_targets(&hosts, now);
                self.serve_queues(now);
            }
            BalancerMessage::Pick { order, reply } => {
                self.pick(WaitingPick { order, reply }, now);
            }
            BalancerMessage::Release(id, ticket) => self.release(id, ticket, now),
            BalancerMessage::Observe(id, ticket, obs) => {
                self.balancer.observe(id, ticket, &obs, now);
            }
            BalancerMessage::ReportState(id, state, load) => {
                self.balancer.report_state(id, state, load, now);
            }
            BalancerMessage::Advise(name) => self.balancer.advise(&name, now),
            BalancerMessage::Probes(reply) => {
                let _ = reply.send(self.balancer.probes(now));
            }
            BalancerMessage::Probed { id, healthy, state } => {
                self.balancer.probed(id, healthy, state, now);
            }
            BalancerMessage::Tick => self.tick(now),
            BalancerMessage::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
        }
        self.count_ejections();
        for suspicion in self.balancer.take_suspicions() {
            let _ = self.suspicions.send(SuspicionEvent::Own(suspicion));
        }
    }

    fn pick(&mut self, waiting: WaitingPick, now: BootTime) {
        let service = waiting.order.service.clone();
        let queued = self.queues.get(&service).is_some_and(|q| !q.is_empty());
        if !queued {
            match self.try_pick(&waiting.order, now) {
                Err(PickError::Busy) => {}
                res => return self.answer(waiting, res),
            }
        }
        self.enqueue(service, waiting);
    }

    fn try_pick(&mut self, order: &PickOrder, now: BootTime) -> Result<Choice, PickError> {
        let req = PickRequest {
            service: &order.service,
            avoid: &order.avoid,
            repeatable: order.repeatable,
        };
        self.balancer.pick(&req, now)
    }

    fn answer(&self, waiting: WaitingPick, res: Result<Choice, PickError>) {
        let picked = res.map(|choice| Picked {
            id: choice.id,
            address: choice.address,
            name: choice.name,
            ticket: choice.ticket,
            handle: self.handle.clone(),
        });
        let _ = waiting.reply.send(picked);
    }

    fn enqueue(&mut self, service: Rc<str>, waiting: WaitingPick) {
        let order = &waiting.order;
        let entry = Waiting {
            workspace: order.workspace.clone(),
            rate_per_s: order.rate_per_s,
            deadline: order.deadline,
            item: waiting,
        };
        self.metrics.count(Counter::Queued);
        let queue = self
            .queues
            .entry(service)
            .or_insert_with(|| FairQueue::new(QUEUE_CAPACITY));
        if let Err(QueueFull(shed)) = queue.push(entry) {
            self.answer(shed.item, Err(PickError::Overloaded));
        }
    }

    fn release(&mut self, id: TargetId, ticket: Ticket, now: BootTime) {
        self.balancer.release(id, ticket);
        let service = self.balancer.target(id).map(|t| t.service);
        let name = service.and_then(|s| self.balancer.service(s));
        if let Some(name) = name.map(|s| s.name.clone()) {
            self.serve_queue(&name, now);
        }
    }

    fn serve_queues(&mut self, now: BootTime) {
        let waiting = self.queues.iter().filter(|(_, q)| !q.is_empty());
        let services: Vec<Rc<str>> = waiting.map(|(s, _)| s.clone()).collect();
        for service in services {
            self.serve_queue(&service, now);
        }
    }

    /// Gives targets to waiting requests until all targets are busy.
    fn serve_queue(&mut self, service: &str, now: BootTime) {
        loop {
            let queue = self.queues.get(service);
            let Some(first) = queue.and_then(FairQueue::peek) else {
                return;
            };
            let order = first.item.order.clone();
            let res = self.try_pick(&order, now);
            if matches!(res, Err(PickError::Busy)) {
                return;
            }
            let first = self.queues.get_mut(service).and_then(FairQueue::pop);
            if let Some(first) = first {
                self.answer(first.item, res);
            }
        }
    }

    fn tick(&mut self, now: BootTime) {
        self.balancer.tick(now);
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            expired.extend(queue.take_expired(now));
        }
        for waiting in expired {
            self.answer(waiting.item, Err(PickError::Overloaded));
        }
        self.serve_queues(now);
    }

    fn count_ejections(&mut self) {
        while self.ejections < self.balancer.ejections() {
            self.ejections += 1;
            self.metrics.count(Counter::Ejections);
        }
    }

    fn status(&self, now: BootTime) -> Vec<TargetStatus> {
        let targets = self.balancer.targets(now);
        let status = targets.map(|(t, suspicion)| TargetStatus {
            name: t.name.to_string(),
            leaving: t.is_leaving(),
            in_flight: t.flights.len() as u32,
            suspicion,
        });
        status.collect()
    }
}
