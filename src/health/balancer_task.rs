//! The task that owns the balancer.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use local_sync::{mpsc, oneshot};
use serde::Serialize;

use crate::{
    clock::{BootTime, Clock},
    metrics::{Counter, Metrics},
    proxy::TargetReport,
    store::ListedHost,
};

use super::{
    AttemptId, Balancer, Decision, FailureNotifier, Observation, PickError, ScheduleRequest,
    Scheduler, SuspicionEvent, TargetId, TargetState,
};

/// Time between two looks at overdue requests and passed deadlines.
const TICK: Duration = Duration::from_millis(20);

/// A message to the task that owns the balancer.
pub enum BalancerMessage {
    /// Takes over the platform's list.
    SetTargets(Rc<Vec<ListedHost>>),
    /// Asks for a target.
    Pick {
        /// What the choice depends on.
        req: ScheduleRequest,
        /// Takes the choice.
        reply: oneshot::Sender<Result<PickedTarget, PickError>>,
    },
    /// Ends a request in flight.
    Release(TargetId, AttemptId),
    /// Tells of one piece of work.
    Observe(TargetId, AttemptId, Observation),
    /// Tells what a target said of itself.
    Report(TargetId, TargetReport),
    /// Tells that a target broke off work.
    TripBreaker(TargetId),
    /// Tells that the targets of these names broke off work of other daemons.
    PeerReportedFailed(Vec<String>),
    /// Tells that the targets of these names work again for other daemons.
    PeerReportedRecovered(Vec<String>),
    /// Tells that several daemons together suspect the target of this name.
    FleetAlarm(String),
    /// Asks for the targets to probe.
    TargetsToProbe(oneshot::Sender<Vec<(TargetId, SocketAddr)>>),
    /// Tells how a probe ended.
    ProbeResult {
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
pub struct PickedTarget {
    /// The target.
    pub id: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Its name.
    pub name: Rc<str>,
    attempt: AttemptId,
    handle: BalancerHandle,
}

impl PickedTarget {
    /// Tells how the work ended.
    pub fn observe(&self, obs: Observation) {
        self.handle
            .send(BalancerMessage::Observe(self.id, self.attempt, obs));
    }

    /// Holds work of this daemon back from the target, which broke off some.
    pub fn trip_breaker(&self) {
        self.handle.send(BalancerMessage::TripBreaker(self.id));
    }

    /// Tells what the target said of itself.
    pub fn report(&self, report: TargetReport) {
        if report.state.is_some() || report.load.is_some() {
            self.handle.send(BalancerMessage::Report(self.id, report));
        }
    }
}

impl Drop for PickedTarget {
    fn drop(&mut self) {
        self.handle
            .send(BalancerMessage::Release(self.id, self.attempt));
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
    pub async fn pick(&self, req: ScheduleRequest) -> Result<PickedTarget, PickError> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::Pick { req, reply });
        rx.await.unwrap_or(Err(PickError::NoTarget))
    }

    /// Asks for the targets to probe.
    pub async fn targets_to_probe(&self) -> Vec<(TargetId, SocketAddr)> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::TargetsToProbe(reply));
        rx.await.unwrap_or_default()
    }

    /// Asks for the status of all targets.
    pub async fn status(&self) -> Vec<TargetStatus> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::Status(reply));
        rx.await.unwrap_or_default()
    }
}

type PickReply = oneshot::Sender<Result<PickedTarget, PickError>>;

struct BalancerTask {
    scheduler: Scheduler<PickReply>,
    handle: BalancerHandle,
    metrics: Rc<Metrics>,
    suspicions: mpsc::unbounded::Tx<SuspicionEvent>,
    failures: Option<FailureNotifier>,
    ejections: u64,
    queued: u64,
}

/// Owns the balancer and the queues, and answers messages until all senders are gone.
pub async fn balancer_task(
    balancer: Balancer,
    mut rx: mpsc::unbounded::Rx<BalancerMessage>,
    handle: BalancerHandle,
    clock: Rc<dyn Clock>,
    metrics: Rc<Metrics>,
    suspicions: mpsc::unbounded::Tx<SuspicionEvent>,
    failures: Option<FailureNotifier>,
) {
    monoio::spawn(tick_task(handle.clone()));
    let mut task = BalancerTask {
        scheduler: Scheduler::new(balancer),
        handle,
        metrics,
        suspicions,
        failures,
        ejections: 0,
        queued: 0,
    };
    while let Some(msg) = rx.recv().await {
        task.handle(msg, clock.now());
        task.pass_on();
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
        let balancer = &mut self.scheduler.balancer;
        match msg {
            BalancerMessage::SetTargets(hosts) => balancer.set_targets(&hosts, now),
            BalancerMessage::Pick { req, reply } => {
                let decided = self.scheduler.submit(req, reply, now);
                self.answer(decided);
            }
            BalancerMessage::Release(id, attempt) => {
                let decided = self.scheduler.release(id, attempt, now);
                self.answer(decided);
            }
            BalancerMessage::Observe(id, attempt, obs) => balancer.observe(id, attempt, &obs, now),
            BalancerMessage::Report(id, report) => balancer.apply_report(id, report, now),
            BalancerMessage::TripBreaker(id) => balancer.trip_breaker(id, now),
            BalancerMessage::PeerReportedFailed(names) => balancer.trip_breakers(&names, now),
            BalancerMessage::PeerReportedRecovered(names) => balancer.close_breakers(&names, now),
            BalancerMessage::FleetAlarm(name) => balancer.apply_fleet_alarm(&name, now),
            BalancerMessage::TargetsToProbe(reply) => {
                let _ = reply.send(balancer.targets_to_probe(now));
            }
            BalancerMessage::ProbeResult { id, healthy, state } => {
                balancer.record_probe(id, healthy, state, now);
            }
            BalancerMessage::Tick => {
                let decided = self.scheduler.tick(now);
                self.answer(decided);
            }
            BalancerMessage::Status(reply) => {
                let _ = reply.send(status(balancer, now));
            }
        }
    }

    fn answer(&self, decided: impl IntoIterator<Item = Decision<PickReply>>) {
        for Decision { item, res } in decided {
            let _ = item.send(res.map(|choice| PickedTarget {
                id: choice.id,
                address: choice.address,
                name: choice.name,
                attempt: choice.attempt,
                handle: self.handle.clone(),
            }));
        }
    }

    /// Passes on what the other parts of the daemon should know.
    fn pass_on(&mut self) {
        for suspicion in self.scheduler.balancer.take_suspicions() {
            let _ = self.suspicions.send(SuspicionEvent::Local(suspicion));
        }
        for target in self.scheduler.balancer.take_recovered() {
            log::info!(target_name = &*target; "target works again");
            if let Some(notifier) = &self.failures {
                notifier.notify_recovered(&target);
            }
        }
        while self.ejections < self.scheduler.balancer.ejections() {
            self.ejections += 1;
            self.metrics.count(Counter::Ejections);
        }
        while self.queued < self.scheduler.queued() {
            self.queued += 1;
            self.metrics.count(Counter::Queued);
        }
    }
}

fn status(balancer: &Balancer, now: BootTime) -> Vec<TargetStatus> {
    let targets = balancer.targets(now);
    let status = targets.map(|(t, suspicion)| TargetStatus {
        name: t.name.to_string(),
        leaving: t.is_leaving(),
        in_flight: t.in_flight.len() as u32,
        suspicion,
    });
    status.collect()
}
