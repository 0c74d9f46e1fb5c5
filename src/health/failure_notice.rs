//! Failure notices, which are broadcast to all daemons when a target aborts requests.

use std::{cell::RefCell, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    peer::{decode, encode, FleetBroadcast, MessageKind, PeerHandler},
    store::BoxFuture,
};

use super::{BalancerHandle, BalancerMessage};

/// Delay before a notice is sent, so that further failures are batched into it.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Targets that aborted requests, and targets that have recovered since.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureNotice {
    /// Names of targets that aborted requests.
    pub failed: Vec<String>,
    /// Names of targets that have recovered.
    pub recovered: Vec<String>,
    /// Whether the receiver relays the notice to the other daemons of its data centre.
    pub relay: bool,
}

/// Batches the failures that this daemon observes, and broadcasts them to the fleet.
#[derive(Clone)]
pub struct FailureNotifier {
    broadcast: FleetBroadcast,
    pending: Rc<RefCell<Pending>>,
}

/// Content of the next notice.
#[derive(Default)]
struct Pending {
    failed: Vec<String>,
    recovered: Vec<String>,
    is_scheduled: bool,
}

impl FailureNotifier {
    /// Creates a notifier that uses `broadcast`.
    pub fn new(broadcast: FleetBroadcast) -> Self {
        Self {
            broadcast,
            pending: Rc::default(),
        }
    }

    /// Adds `target` to the next notice as failed.
    pub fn notify_failed(&self, target: &str) {
        let mut pending = self.pending.borrow_mut();
        if !pending.failed.iter().any(|t| t == target) {
            pending.failed.push(target.to_owned());
        }
        self.schedule(&mut pending);
    }

    /// Adds `target` to the next notice as recovered.
    pub fn notify_recovered(&self, target: &str) {
        let mut pending = self.pending.borrow_mut();
        pending.recovered.push(target.to_owned());
        self.schedule(&mut pending);
    }

    fn schedule(&self, pending: &mut Pending) {
        if std::mem::replace(&mut pending.is_scheduled, true) {
            return;
        }
        let notifier = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(BATCH_DELAY).await;
            let pending = notifier.pending.take();
            let notice = |relay| FailureNotice {
                failed: pending.failed.clone(),
                recovered: pending.recovered.clone(),
                relay,
            };
            let kind = MessageKind::Failure;
            let (own, other) = (notice(false), notice(true));
            notifier
                .broadcast
                .broadcast_to_fleet(kind, &own, &other)
                .await;
        });
    }
}

/// Handles the notices of other daemons, and relays them if requested.
pub struct FailureHandler {
    /// Balancer whose breakers the notices open and close.
    pub balancer: BalancerHandle,
    /// Broadcast for relays within the data centre of this host.
    pub broadcast: FleetBroadcast,
}

impl PeerHandler for FailureHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let mut notice: FailureNotice = decode(body)?;
            let recovered = BalancerMessage::PeerReportedRecovered(notice.recovered.clone());
            self.balancer.send(recovered);
            let failed = BalancerMessage::PeerReportedFailed(notice.failed.clone());
            self.balancer.send(failed);
            if notice.relay {
                notice.relay = false;
                let broadcast = self.broadcast.clone();
                let kind = MessageKind::Failure;
                monoio::spawn(async move {
                    broadcast.broadcast_to_data_centre(kind, &notice).await;
                });
            }
            encode(&())
        })
    }
}
