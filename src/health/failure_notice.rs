//! Telling all daemons at once which targets break off work.

use std::{cell::RefCell, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    peer::{decode, encode, FleetBroadcast, MessageKind, PeerHandler},
    store::BoxFuture,
};

use super::{BalancerHandle, BalancerMessage};

/// Time in which further failures gather before the fleet is told.
const GATHER: Duration = Duration::from_millis(10);

/// Targets that broke off work, or work again behind that.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureNotice {
    /// Names of targets that broke off work.
    pub failed: Vec<String>,
    /// Names of targets that work again.
    pub recovered: Vec<String>,
    /// Whether the receiver tells the rest of its data centre.
    pub relay: bool,
}

/// Gathers the failures that this daemon sees, and tells the fleet.
#[derive(Clone)]
pub struct FailureNotifier {
    broadcast: FleetBroadcast,
    pending: Rc<RefCell<Pending>>,
}

/// What the fleet is to be told.
#[derive(Default)]
struct Pending {
    failed: Vec<String>,
    recovered: Vec<String>,
    is_scheduled: bool,
}

impl FailureNotifier {
    /// Makes a notifier that uses `broadcast`.
    pub fn new(broadcast: FleetBroadcast) -> Self {
        Self {
            broadcast,
            pending: Rc::default(),
        }
    }

    /// Tells the fleet that `target` broke off work; further news travel along.
    pub fn notify_failed(&self, target: &str) {
        let mut pending = self.pending.borrow_mut();
        if !pending.failed.iter().any(|t| t == target) {
            pending.failed.push(target.to_owned());
        }
        self.schedule(&mut pending);
    }

    /// Tells the fleet that `target` works again; further news travel along.
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
            monoio::time::sleep(GATHER).await;
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

/// Takes other daemons' notices, and passes them on where that is asked for.
pub struct FailureHandler {
    /// Opens the breakers.
    pub balancer: BalancerHandle,
    /// Reaches the own data centre.
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
