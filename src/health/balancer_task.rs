//! Task that owns the balancer.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use local_sync::{mpsc, oneshot};
use serde::Serialize;

use crate::{
    clock::{BootTime, Clock},
    metrics::{Counter, Metrics},
    peer::PeerDirectory,
    proxy::TargetReport,
    store::ListedHost,
};

use super::{
    AttemptId, Balancer, Decision, FailureNotifier, FleetShare, LeavingNotice, LimitNews,
    Observation, PickError, ScheduleRequest, Scheduler, SuspicionEvent, TargetId, TargetState,
};

/// Interval of the checks for overdue requests and expired deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A message to the task that owns the balancer.
pub enum BalancerMessage {
    /// Replaces the target list with the platform's.
    SetTargets(Rc<Vec<ListedHost>>),
    /// Requests a target.
    Pick {
        /// Request that needs the target.
        req: ScheduleRequest,
        /// Receives the picked target.
        reply: oneshot::Sender<Result<PickedTarget, PickError>>,
    },
    /// Ends a request in flight.
    Release(TargetId, AttemptId),
    /// Records the result of a request.
    Observe(TargetId, AttemptId, Observation),
    /// Applies what a target reported in a response.
    Report {
        /// The target.
        id: TargetId,
        /// What it reported.
        report: TargetReport,
        /// Whether the response is an answer, so that a limit that it leaves out is lifted.
        is_answer: bool,
    },
    /// Records a target that another daemon reported as leaving for good.
    PeerReportedLeaving(LeavingNotice),
    /// Applies what another daemon told about the limit of a target.
    PeerReportedLimit {
        /// Name of the target.
        target: String,
        /// The limit.
        news: LimitNews,
    },
    /// Opens the breaker of a target that aborted a request of this daemon.
    TripBreaker(TargetId),
    /// Opens the breakers of these targets, which aborted requests of other daemons.
    PeerReportedFailed(Vec<String>),
    /// Closes the half-open breakers of these targets, which have recovered for other daemons.
    PeerReportedRecovered(Vec<String>),
    /// Applies an alarm against this target from the combined evidence of several daemons.
    FleetAlarm(String),
    /// Requests the targets to probe.
    TargetsToProbe(oneshot::Sender<Vec<(TargetId, SocketAddr)>>),
    /// Records the result of a probe.
    ProbeResult {
        /// Probed target.
        id: TargetId,
        /// Whether the probe succeeded.
        healthy: bool,
        /// State that the target reported.
        state: Option<TargetState>,
    },
    /// Triggers the periodic checks.
    Tick,
    /// Requests the status of all targets.
    Status(oneshot::Sender<Vec<TargetStatus>>),
}

/// The status of one target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: String,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Number of requests of this daemon in flight.
    pub in_flight: u32,
    /// Suspicion; a target with 1 or more is ejected, unless the floor keeps it.
    pub suspicion: f64,
}

/// A picked target with a request in flight, which ends when this is dropped.
pub struct PickedTarget {
    /// Identity of the target.
    pub id: TargetId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Name of the target.
    pub name: Rc<str>,
    attempt: AttemptId,
    handle: BalancerHandle,
}

impl PickedTarget {
    /// Records the result of the request.
    pub fn observe(&self, obs: Observation) {
        self.handle
            .send(BalancerMessage::Observe(self.id, self.attempt, obs));
    }

    /// Opens the breaker of the target in this daemon, after it aborted a request.
    pub fn trip_breaker(&self) {
        self.handle.send(BalancerMessage::TripBreaker(self.id));
    }

    /// Records what the target reported in a response, which may be an answer to the request.
    pub fn report(&self, report: TargetReport, is_answer: bool) {
        self.handle.send(BalancerMessage::Report {
            id: self.id,
            report,
            is_answer,
        });
    }
}

impl Drop for PickedTarget {
    fn drop(&mut self) {
        self.handle
            .send(BalancerMessage::Release(self.id, self.attempt));
    }
}

/// Handle to the task that owns the balancer.
#[derive(Clone)]
pub struct BalancerHandle {
    tx: mpsc::unbounded::Tx<BalancerMessage>,
}

impl BalancerHandle {
    /// Creates a handle that sends to the receiver of `tx`.
    pub fn new(tx: mpsc::unbounded::Tx<BalancerMessage>) -> Self {
        Self { tx }
    }

    /// Sends a message, which is dropped if the task has ended.
    pub fn send(&self, msg: BalancerMessage) {
        let _ = self.tx.send(msg);
    }

    /// Picks a target, and waits in the queue of the service while all targets are busy.
    ///
    /// # Errors
    ///
    /// Returns why no target was picked.
    pub async fn pick(&self, req: ScheduleRequest) -> Result<PickedTarget, PickError> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::Pick { req, reply });
        rx.await.unwrap_or(Err(PickError::NoTarget))
    }

    /// Returns the targets to probe now.
    pub async fn targets_to_probe(&self) -> Vec<(TargetId, SocketAddr)> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::TargetsToProbe(reply));
        rx.await.unwrap_or_default()
    }

    /// Returns the status of all targets.
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
    failure_notifier: Option<FailureNotifier>,
    directory: PeerDirectory,
    ejections: u64,
    queued: u64,
}

/// Dependencies of [`balancer_task`].
pub struct BalancerTaskParts {
    /// Sends to the receiver of the task.
    pub handle: BalancerHandle,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Receives suspicions of targets.
    pub suspicions: mpsc::unbounded::Tx<SuspicionEvent>,
    /// Notifies the fleet; `None` if each daemon judges targets by itself.
    pub failure_notifier: Option<FailureNotifier>,
    /// The daemons of the fleet, which share the limits that targets name.
    pub directory: PeerDirectory,
}

/// Owns the balancer and the queues, and handles messages until all senders are dropped.
pub async fn balancer_task(
    balancer: Balancer,
    mut rx: mpsc::unbounded::Rx<BalancerMessage>,
    parts: BalancerTaskParts,
) {
    let BalancerTaskParts { handle, clock, .. } = parts;
    monoio::spawn(tick_task(handle.clone()));
    let mut task = BalancerTask {
        scheduler: Scheduler::new(balancer),
        handle,
        metrics: parts.metrics,
        suspicions: parts.suspicions,
        failure_notifier: parts.failure_notifier,
        directory: parts.directory,
        ejections: 0,
        queued: 0,
    };
    while let Some(msg) = rx.recv().await {
        task.handle_message(msg, clock.now());
        task.publish_changes();
    }
}

async fn tick_task(handle: BalancerHandle) {
    loop {
        monoio::time::sleep(TICK_INTERVAL).await;
        handle.send(BalancerMessage::Tick);
    }
}

impl BalancerTask {
    fn handle_message(&mut self, msg: BalancerMessage, now: BootTime) {
        let balancer = &mut self.scheduler.balancer;
        match msg {
            BalancerMessage::SetTargets(hosts) => balancer.set_targets(&hosts, now),
            BalancerMessage::Pick { req, reply } => {
                let decisions = self.scheduler.submit(req, reply, now);
                self.reply(decisions);
            }
            BalancerMessage::Release(id, attempt) => {
                let decisions = self.scheduler.release(id, attempt, now);
                self.reply(decisions);
            }
            BalancerMessage::Observe(id, attempt, obs) => balancer.observe(id, attempt, &obs, now),
            BalancerMessage::Report {
                id,
                report,
                is_answer,
            } => {
                balancer.apply_report(id, report, now);
                if let Some(pause) = report.pause {
                    self.apply_pause(id, pause, now);
                }
                if report.leaving {
                    self.apply_leaving(id);
                }
                if is_answer || report.limit_per_s.is_some() {
                    self.apply_named_limit(id, report.limit_per_s, now);
                }
            }
            BalancerMessage::PeerReportedLeaving(LeavingNotice { target, born }) => {
                if balancer.apply_leaving_news(&target, born) {
                    log::info!(target_name = target.as_str(), heard_here = false;
                        "target leaves");
                }
            }
            BalancerMessage::PeerReportedLimit { target, news } => {
                let share = self.fleet_share(&target);
                let balancer = &mut self.scheduler.balancer;
                if balancer.apply_limit_news(&target, news, share, now) {
                    log_limit(&target, news, share, false);
                }
            }
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
                let decisions = self.scheduler.tick(now);
                self.reply(decisions);
            }
            BalancerMessage::Status(reply) => {
                let _ = reply.send(target_statuses(balancer, now));
            }
        }
    }

    fn apply_pause(&mut self, id: TargetId, pause: Duration, now: BootTime) {
        let balancer = &mut self.scheduler.balancer;
        balancer.apply_pause(id, pause, now);
        self.metrics.count(Counter::TargetPauses);
        if let Some(target) = balancer.target(id) {
            log::info!(target_name = &*target.name, pause_ms = pause.as_millis() as u64;
                "target asked for a pause");
        }
    }

    /// Records that a target leaves for good, and tells the fleet.
    fn apply_leaving(&mut self, id: TargetId) {
        if !self.scheduler.balancer.apply_leaving(id) {
            return;
        }
        let Some(target) = self.scheduler.balancer.target(id) else {
            return;
        };
        log::info!(target_name = &*target.name, heard_here = true; "target leaves");
        if let Some(notifier) = &self.failure_notifier {
            notifier.notify_leaving(&target.name, target.born);
        }
    }

    /// Applies the limit that a target named in a response, or that it named none.
    fn apply_named_limit(&mut self, id: TargetId, limit_per_s: Option<f64>, now: BootTime) {
        let Some(target) = self.scheduler.balancer.target(id) else {
            return;
        };
        if limit_per_s.is_none() && target.throttle.limit_per_s(now).is_none() {
            return;
        }
        let name = target.name.clone();
        let share = self.fleet_share(&name);
        let balancer = &mut self.scheduler.balancer;
        let Some(news) = balancer.apply_named_limit(id, limit_per_s, share, now) else {
            return;
        };
        log_limit(&name, news, share, true);
        if let Some(notifier) = &self.failure_notifier {
            notifier.notify_limit(&name, news);
        }
    }

    /// Returns the place of this daemon among those of the fleet for a target.
    fn fleet_share(&self, target: &str) -> FleetShare {
        let peers = self.directory.peers();
        let others = peers.iter().filter(|p| !p.leaving).map(|p| &*p.host);
        FleetShare::new(self.directory.own_host(), others, target)
    }

    fn reply(&self, decisions: impl IntoIterator<Item = Decision<PickReply>>) {
        for Decision { item, res } in decisions {
            let _ = item.send(res.map(|choice| PickedTarget {
                id: choice.id,
                address: choice.address,
                name: choice.name,
                attempt: choice.attempt,
                handle: self.handle.clone(),
            }));
        }
    }

    /// Sends new suspicions and recoveries to their tasks, and updates the counters.
    fn publish_changes(&mut self) {
        for suspicion in self.scheduler.balancer.take_suspicions() {
            let _ = self.suspicions.send(SuspicionEvent::Local(suspicion));
        }
        for target in self.scheduler.balancer.take_recovered() {
            log::info!(target_name = &*target; "target recovered");
            if let Some(notifier) = &self.failure_notifier {
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

fn log_limit(target: &str, news: LimitNews, share: FleetShare, heard_here: bool) {
    match news {
        LimitNews::Named(limit) => {
            let part = share.rate_per_s(limit);
            log::info!(target_name = target, limit_per_s = limit, part_per_s:? = part,
                daemons = share.daemons, heard_here = heard_here; "target limits requests");
        }
        LimitNews::Lifted => {
            log::info!(target_name = target, heard_here = heard_here; "target lifted its limit");
        }
    }
}

fn target_statuses(balancer: &Balancer, now: BootTime) -> Vec<TargetStatus> {
    let targets = balancer.targets(now);
    let status = targets.map(|(t, suspicion)| TargetStatus {
        name: t.name.to_string(),
        leaving: t.is_leaving(),
        in_flight: t.in_flight.len() as u32,
        suspicion,
    });
    status.collect()
}
