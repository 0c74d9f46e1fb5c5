//! Broadcast of messages to all daemons of the fleet.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use local_sync::oneshot;
use monoio::time::timeout;
use serde::Serialize;

use super::{MessageKind, PeerClient};

/// Maximum number of recipients in the local data centre.
const MAX_LOCAL_PEERS: usize = 256;
/// Recipients in each remote data centre, which relay the message to the rest of it.
const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Sends messages to all daemons of the fleet: directly within the local data centre, and to a few
/// relays in each remote one.
#[derive(Clone)]
pub struct FleetBroadcast {
    peers: PeerClient,
    data_centre: Rc<str>,
    timeout: Duration,
}

impl FleetBroadcast {
    /// Creates the broadcast of a daemon in `data_centre` that waits at most `timeout` for replies.
    pub fn new(peers: PeerClient, data_centre: &str, timeout: Duration) -> Self {
        Self {
            peers,
            data_centre: Rc::from(data_centre),
            timeout,
        }
    }

    /// Sends `msg` to the local data centre and `relayed` to the relays of the other ones, and
    /// waits until all recipients have replied or the timeout has expired.
    pub async fn broadcast_to_fleet(
        &self,
        kind: MessageKind,
        msg: &(impl Serialize + Clone + 'static),
        relayed: &(impl Serialize + Clone + 'static),
    ) {
        let remote = self.send_to(kind, relayed, self.relays());
        let local = self.broadcast_to_data_centre(kind, msg);
        monoio::join!(local, remote);
    }

    /// Sends `msg` to the other daemons of the local data centre.
    pub async fn broadcast_to_data_centre(
        &self,
        kind: MessageKind,
        msg: &(impl Serialize + Clone + 'static),
    ) {
        self.send_to(kind, msg, self.local_hosts()).await;
    }

    fn local_hosts(&self) -> Vec<Rc<str>> {
        let directory = self.peers.directory().peers();
        let local = directory
            .iter()
            .filter(|p| p.data_centre == self.data_centre);
        local
            .take(MAX_LOCAL_PEERS)
            .map(|p| p.host.clone())
            .collect()
    }

    fn relays(&self) -> Vec<Rc<str>> {
        let directory = self.peers.directory().peers();
        let mut by_data_centre: BTreeMap<Rc<str>, Vec<Rc<str>>> = BTreeMap::new();
        for peer in directory.iter().filter(|p| !p.leaving) {
            if peer.data_centre != self.data_centre {
                let hosts = by_data_centre.entry(peer.data_centre.clone()).or_default();
                hosts.push(peer.host.clone());
            }
        }
        for hosts in by_data_centre.values_mut() {
            fastrand::shuffle(hosts);
            hosts.truncate(RELAYS_PER_DATA_CENTRE);
        }
        by_data_centre.into_values().flatten().collect()
    }

    /// Sends `msg` to all `hosts` concurrently.
    async fn send_to(
        &self,
        kind: MessageKind,
        msg: &(impl Serialize + Clone + 'static),
        hosts: Vec<Rc<str>>,
    ) {
        let limit = self.timeout;
        let mut pending = Vec::new();
        for host in hosts {
            let (tx, rx) = oneshot::channel::<()>();
            let (peers, msg) = (self.peers.clone(), msg.clone());
            monoio::spawn(async move {
                // Messages may arrive twice, as several relays pass them on.
                let sent = peers.call_repeatable::<_, ()>(&host, kind, &msg, limit);
                if let Err(e) = sent.await {
                    log::debug!(peer = &*host, reason:? = e; "broadcast to a peer failed");
                }
                let _ = tx.send(());
            });
            pending.push(rx);
        }
        let all = async {
            for rx in pending {
                let _ = rx.await;
            }
        };
        let _ = timeout(limit, all).await;
    }
}
