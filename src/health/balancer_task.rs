//! The task that owns the balancer.

use std::{net::SocketAddr, rc::Rc};

use local_sync::{mpsc, oneshot};
use serde::Serialize;

use crate::{clock::Clock, platform::ListedHost};

use super::{Balancer, Observation, PickError, TargetId, TargetState};

/// A message to the task that owns the balancer.
pub enum BalancerMessage {
    /// Takes over the platform's list.
    SetTargets(Rc<Vec<ListedHost>>),
    /// Asks for a target.
    Pick {
        /// The service.
        service: Rc<str>,
        /// Targets that were tried already.
        avoid: Vec<TargetId>,
        /// Takes the choice.
        reply: oneshot::Sender<Result<Picked, PickError>>,
    },
    /// Ends a request in flight.
    Release(TargetId),
    /// Tells of one piece of work.
    Observe(TargetId, Observation),
    /// Tells what a target said of itself.
    ReportState(TargetId, TargetState, Option<f64>),
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
    /// Its suspicion.
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
    handle: BalancerHandle,
}

impl Picked {
    /// Tells how the work ended.
    pub fn observe(&self, obs: Observation) {
        self.handle.send(BalancerMessage::Observe(self.id, obs));
    }

    /// Tells what the target said of itself.
    pub fn report_state(&self, state: TargetState, load: Option<f64>) {
        self.handle
            .send(BalancerMessage::ReportState(self.id, state, load));
    }
}

impl Drop for Picked {
    fn drop(&mut self) {
        self.handle.send(BalancerMessage::Release(self.id));
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

    /// Asks for a target of `service`.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn pick(&self, service: &str, avoid: &[TargetId]) -> Result<Picked, PickError> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::Pick {
            service: Rc::from(service),
            avoid: avoid.to_vec(),
            reply,
        });
        rx.await.unwrap_or(Err(PickError::NoTarget))
    }

    /// Asks for the status of all targets.
    pub async fn status(&self) -> Vec<TargetStatus> {
        let (reply, rx) = oneshot::channel();
        self.send(BalancerMessage::Status(reply));
        rx.await.unwrap_or_default()
    }
}

/// Owns the balancer and answers messages until all senders are gone.
pub async fn balancer_task(
    mut balancer: Balancer,
    mut rx: mpsc::unbounded::Rx<BalancerMessage>,
    handle: BalancerHandle,
    clock: Rc<dyn Clock>,
) {
    while let Some(msg) = rx.recv().await {
        let now = clock.now();
        match msg {
            BalancerMessage::SetTargets(hosts) => balancer.set_targets(&hosts),
            BalancerMessage::Pick {
                service,
                avoid,
                reply,
            } => {
                let picked = balancer.pick(&service, &avoid, now).map(|t| Picked {
                    id: t.id,
                    address: t.address,
                    name: t.name.clone(),
                    handle: handle.clone(),
                });
                let _ = reply.send(picked);
            }
            BalancerMessage::Release(id) => balancer.release(id),
            BalancerMessage::Observe(id, obs) => balancer.observe(id, &obs, now),
            BalancerMessage::ReportState(id, state, load) => {
                balancer.report_state(id, state, load);
            }
            BalancerMessage::Status(reply) => {
                let status = balancer.targets(now).map(|(t, suspicion)| TargetStatus {
                    name: t.name.to_string(),
                    leaving: t.state == TargetState::Leaving,
                    in_flight: t.in_flight,
                    suspicion,
                });
                let _ = reply.send(status.collect());
            }
        }
    }
}
