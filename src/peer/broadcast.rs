//! Telling all daemons of the fleet.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use local_sync::oneshot;
use monoio::time::timeout;
use serde::Serialize;

use super::{MessageKind, PeerClient};

/// Most daemons of the own data centre that are told.
const MAX_PEERS: usize = 256;
/// Daemons of each other data centre that are told, and tell the rest of theirs.
const RELAYS: usize = 2;

/// Tells all daemons of the fleet: those of the own data centre directly, and a few of each other
/// one, which pass the message on.
#[derive(Clone)]
pub struct FleetBroadcast {
    peers: PeerClient,
    data_centre: Rc<str>,
    limit: Duration,
}

impl FleetBroadcast {
    /// Makes the broadcast of a daemon in `data_centre` that waits at most `limit` for answers.
    pub fn new(peers: PeerClient, data_centre: &str, limit: Duration) -> Self {
        Self {
            peers,
            data_centre: Rc::from(data_centre),
            limit,
        }
    }

    /// Tells the fleet, and waits until each daemon told answered or the limit passed; `relayed`
    /// is the message to those that pass it on.
    pub async fn broadcast_to_fleet(
        &self,
        kind: MessageKind,
        msg: &(impl Serialize + Clone + 'static),
        relayed: &(impl Serialize + Clone + 'static),
    ) {
        let other = self.tell(kind, relayed, self.relays());
        let own = self.broadcast_to_data_centre(kind, msg);
        monoio::join!(own, other);
    }

    /// Tells the daemons of the own data centre.
    pub async fn broadcast_to_data_centre(
        &self,
        kind: MessageKind,
        msg: &(impl Serialize + Clone + 'static),
    ) {
        self.tell(kind, msg, self.own_data_centre()).await;
    }

    fn own_data_centre(&self) -> Vec<Rc<str>> {
        let directory = self.peers.directory().peers();
        let own = directory
            .iter()
            .filter(|p| p.data_centre == self.data_centre);
        own.take(MAX_PEERS).map(|p| p.host.clone()).collect()
    }

    fn relays(&self) -> Vec<Rc<str>> {
        let directory = self.peers.directory().peers();
        let mut by_centre: BTreeMap<Rc<str>, Vec<Rc<str>>> = BTreeMap::new();
        for peer in directory.iter().filter(|p| !p.leaving) {
            if peer.data_centre != self.data_centre {
                let hosts = by_centre.entry(peer.data_centre.clone()).or_default();
                hosts.push(peer.host.clone());
            }
        }
        for hosts in by_centre.values_mut() {
            fastrand::shuffle(hosts);
            hosts.truncate(RELAYS);
        }
        by_centre.into_values().flatten().collect()
    }

    /// Tells `hosts` at the same time.
    async fn tell(
        &self,
        kind: MessageKind,
        msg: &(impl Serialize + Clone + 'static),
        hosts: Vec<Rc<str>>,
    ) {
        let limit = self.limit;
        let mut told = Vec::new();
        for host in hosts {
            let (tx, rx) = oneshot::channel::<()>();
            let (peers, msg) = (self.peers.clone(), msg.clone());
            monoio::spawn(async move {
                if let Err(e) = peers.call::<_, ()>(&host, kind, &msg, limit).await {
                    log::debug!(peer = &*host, reason:? = e; "peer not told");
                }
                let _ = tx.send(());
            });
            told.push(rx);
        }
        let all = async {
            for rx in told {
                let _ = rx.await;
            }
        };
        let _ = timeout(limit, all).await;
    }
}
