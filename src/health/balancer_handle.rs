//! Messages to the task that owns the balancer, and the handle that sends them.

use std::{cell::Cell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use local_sync::{mpsc, oneshot};
use serde::Serialize;

use crate::{clock::BootTime, proxy::TargetReport, queue::QueueId, store::ListedHost};

use super::{
    AttemptId, EntryWarmup, Evacuations, LeavingNotice, Lender, LimitNews, Observation, PickError,
    ScheduleRequest, TargetId, TargetState, WarmupTerms,
};

/// Receives the picked target.
pub(super) type PickReply = oneshot::Sender<Result<PickedTarget, PickError>>;

/// A message to the task that owns the balancer.
pub enum BalancerMessage {
    /// Replaces the target list with the platform's.
    SetTargets(Rc<Vec<ListedHost>>),
    /// Replaces the evacuated data centres.
    SetEvacuations(Evacuations),
    /// Replaces the limits of cold targets, by service.
    SetWarmupTerms(BTreeMap<Rc<str>, WarmupTerms>),
    /// Applies what entries state about the warm-up of their targets.
    RecordEntries(Vec<EntryWarmup>),
    /// Requests a target.
    Pick {
        /// Identity of the request in the queue.
        id: QueueId,
        /// Request that needs the target.
        req: ScheduleRequest,
        /// Receives the picked target.
        reply: oneshot::Sender<Result<PickedTarget, PickError>>,
    },
    /// Removes a request that nobody waits for any more from the queue.
    CancelPick {
        /// Identity of the request in the queue.
        id: QueueId,
        /// Name of the service.
        service: Rc<str>,
    },
    /// Requests the daemons that may have a token of a limited target left for this request.
    FindLenders(ScheduleRequest, oneshot::Sender<Vec<Lender>>),
    /// Starts a request on a target for which another daemon gave a token.
    PickGranted(TargetId, PickReply),
    /// Requests a target for the second attempt of a hedged request.
    PickHedge {
        /// Name of the service.
        service: Rc<str>,
        /// Target of the first attempt.
        first: TargetId,
        /// Receives the picked target.
        reply: oneshot::Sender<Result<PickedTarget, PickError>>,
    },
    /// Takes a token of a limited target for another daemon.
    LendToken {
        /// Name of the target.
        target: String,
        /// Whether the other daemon knows that the target is cold.
        is_cold: bool,
        /// Receives whether there was a token.
        reply: oneshot::Sender<bool>,
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
        /// Time for which the target is cold, as it reported; `None` without a usable response.
        warmup_left: Option<Duration>,
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
    pub(super) evacuated: Rc<Cell<bool>>,
    pub(super) send_by: Option<BootTime>,
    pub(super) attempt: AttemptId,
    pub(super) handle: BalancerHandle,
}

impl PickedTarget {
    /// Returns whether the request must not be sent any more: the data centre of the target has been
    /// evacuated since it was picked, or a token that was taken for it is too old.
    pub fn is_withdrawn(&self, now: BootTime) -> bool {
        self.evacuated.get() || self.send_by.is_some_and(|end| now > end)
    }

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
    /// Identity of the next request, shared by all clones.
    next_id: Rc<Cell<u64>>,
}

/// A request for a target without a reply; cancelled when this is dropped.
struct PendingPick<'a> {
    handle: &'a BalancerHandle,
    id: QueueId,
    service: Rc<str>,
    replied: bool,
}

impl Drop for PendingPick<'_> {
    fn drop(&mut self) {
        if !self.replied {
            self.handle.send(BalancerMessage::CancelPick {
                id: self.id,
                service: self.service.clone(),
            });
        }
    }
}

impl BalancerHandle {
    /// Creates a handle that sends to the receiver of `tx`.
    pub fn new(tx: mpsc::unbounded::Tx<BalancerMessage>) -> Self {
        Self {
            tx,
            next_id: Rc::default(),
        }
    }

    /// Sends a message, which is dropped if the task has ended.
    pub fn send(&self, msg: BalancerMessage) {
        let _ = self.tx.send(msg);
    }

    /// Picks a target, and waits in the queue of the service while all targets are busy.
    ///
    /// Cancel safe: the request leaves the queue when the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns why no target was picked.
    pub async fn pick(&self, req: ScheduleRequest) -> Result<PickedTarget, PickError> {
        let (reply, rx) = oneshot::channel();
        let id = QueueId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let mut pending = PendingPick {
            handle: self,
            id,
            service: req.service.clone(),
            replied: false,
        };
        self.send(BalancerMessage::Pick { id, req, reply });
        let res = rx.await;
        pending.replied = true;
        res.unwrap_or(Err(PickError::NoTarget))
    }

    /// Picks a target with spare capacity for a second attempt beside the one at `first`; returns
    /// `None` at once if there is none.
    ///
    /// Cancel safe: the picked target is released when the future is dropped.
    pub async fn pick_hedge(&self, service: Rc<str>, first: TargetId) -> Option<PickedTarget> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::PickHedge {
            service,
            first,
            reply,
        });
        rx.await.ok()?.ok()
    }

    /// Returns the daemons that may have a token of a limited target left for `req`.
    pub async fn find_lenders(&self, req: &ScheduleRequest) -> Vec<Lender> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::FindLenders(req.clone(), reply));
        rx.await.unwrap_or_default()
    }

    /// Starts a request on a target for which another daemon gave a token.
    ///
    /// # Errors
    ///
    /// Returns [`PickError::NoTarget`] if the target is gone.
    pub async fn pick_granted(&self, id: TargetId) -> Result<PickedTarget, PickError> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::PickGranted(id, reply));
        rx.await.unwrap_or(Err(PickError::NoTarget))
    }

    /// Takes a token of a limited target for another daemon, which may know that the target is cold;
    /// returns whether there was one.
    pub async fn lend_token(&self, target: String, is_cold: bool) -> bool {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::LendToken {
            target,
            is_cold,
            reply,
        });
        rx.await.unwrap_or(false)
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
