//! The daemons of the fleet, as the platform lists them.

use std::{
    cell::{Ref, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use crate::platform::ListedHost;

/// Another daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of its host.
    pub host: Rc<str>,
    /// Its data centre.
    pub data_centre: Rc<str>,
    /// Its address for other daemons.
    pub address: SocketAddr,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// The other daemons of the fleet, as the platform last listed them.
#[derive(Clone)]
pub struct PeerDirectory {
    own_host: Rc<str>,
    addresses: Rc<BTreeMap<String, SocketAddr>>,
    peers: Rc<RefCell<Vec<Peer>>>,
}

impl PeerDirectory {
    /// Makes an empty directory of the daemon `own_host`, which reaches the hosts of `addresses`
    /// there and all others as listed.
    pub fn new(own_host: &str, addresses: &BTreeMap<String, SocketAddr>) -> Self {
        Self {
            own_host: Rc::from(own_host),
            addresses: Rc::new(addresses.clone()),
            peers: Rc::default(),
        }
    }

    /// Returns the name of this daemon's host.
    pub fn own_host(&self) -> &str {
        &self.own_host
    }

    /// Takes over the platform's list; targets and this daemon itself are skipped.
    pub fn set_hosts(&self, hosts: &[ListedHost]) {
        let daemons = hosts
            .iter()
            .filter(|h| h.service.is_none() && h.name != *self.own_host);
        let mut peers: Vec<Peer> = daemons
            .map(|h| Peer {
                host: Rc::from(h.name.as_str()),
                data_centre: Rc::from(h.data_centre.as_str()),
                address: self.address_of(&h.name, h.address),
                leaving: h.leaving,
            })
            .collect();
        peers.sort_by(|a, b| a.host.cmp(&b.host));
        *self.peers.borrow_mut() = peers;
    }

    /// Returns the address by which this daemon reaches `host`, listed at `listed`.
    pub fn address_of(&self, host: &str, listed: SocketAddr) -> SocketAddr {
        self.addresses.get(host).copied().unwrap_or(listed)
    }

    /// Returns all peers, sorted by name; the borrow must end before the next await.
    ///
    /// # Panics
    ///
    /// Panics when [`PeerDirectory::set_hosts`] runs, which no caller can observe.
    pub fn peers(&self) -> Ref<'_, Vec<Peer>> {
        self.peers.borrow()
    }

    /// Returns the peer on `host`.
    pub fn find(&self, host: &str) -> Option<Peer> {
        self.peers
            .borrow()
            .iter()
            .find(|p| *p.host == *host)
            .cloned()
    }
}
