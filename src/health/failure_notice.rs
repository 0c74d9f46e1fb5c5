//! Telling all daemons at once which targets break off work.

use std::{cell::RefCell, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    peer::{decode, encode, FleetBroadcast, PeerHandler, PeerKind},
    store::BoxFuture,
};

use super::{BalancerHandle, BalancerMessage};

/// Time in which further failures gather before the fleet is told.
const GATHER: Duration = Duration::from_millis(10);

/// Targets that broke off work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureNotice {
    /// Names of the targets.
    pub targets: Vec<String>,
    /// Whether the receiver tells the rest of its data centre.
    pub relay: bool,
}

/// Gathers the failures that this daemon sees, and tells the fleet.
#[derive(Clone)]
pub struct FailureTeller {
    broadcast: FleetBroadcast,
    pending: Rc<RefCell<Vec<String>>>,
}

impl FailureTeller {
    /// Makes a teller that uses `broadcast`.
    pub fn new(broadcast: FleetBroadcast) -> Self {
        Self {
            broadcast,
            pending: Rc::default(),
        }
    }

    /// Tells the fleet that `target` broke off work; further failures travel along.
    pub fn tell(&self, target: &str) {
        let mut pending = self.pending.borrow_mut();
        if pending.iter().any(|t| t == target) {
            return;
        }
        pending.push(target.to_owned());
        if pending.len() > 1 {
            return;
        }
        let teller = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(GATHER).await;
            let targets = teller.pending.take();
            let notice = |relay| FailureNotice {
                targets: targets.clone(),
                relay,
            };
            let kind = PeerKind::Failure;
            let (own, other) = (notice(false), notice(true));
            teller.broadcast.tell_fleet(kind, &own, &other).await;
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
            let targets = notice.targets.clone();
            self.balancer
                .send(BalancerMessage::FailedElsewhere(targets));
            if notice.relay {
                notice.relay = false;
                let broadcast = self.broadcast.clone();
                let kind = PeerKind::Failure;
                monoio::spawn(async move {
                    broadcast.tell_own_data_centre(kind, &notice).await;
                });
            }
            encode(&())
        })
    }
}
