//! Directory of the fleet's daemons, taken from the platform's host list.

use std::{
    cell::{Cell, Ref, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::store::ListedHost;

/// Maximum age at which the host list counts as fresh.
const MAX_LIST_AGE: Duration = Duration::from_secs(5);
/// Time for which hosts that have left the list are remembered.
const UNLISTED_RETENTION: Duration = Duration::from_secs(3600);

/// Another daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the host.
    pub host: Rc<str>,
    /// Data centre of the host.
    pub data_centre: Rc<str>,
    /// Address at which this daemon reaches the peer.
    pub address: SocketAddr,
    /// Address given in the platform's list.
    pub listed_address: SocketAddr,
    /// Whether the platform lists the host as leaving.
    pub leaving: bool,
}

/// The other daemons of the fleet according to the platform's latest host list.
#[derive(Clone)]
pub struct PeerDirectory {
    own_host: Rc<str>,
    addresses: Rc<BTreeMap<String, SocketAddr>>,
    peers: Rc<RefCell<Vec<Peer>>>,
    history: Rc<RefCell<ListHistory>>,
    generation: Rc<Cell<u64>>,
}

/// Record of when daemons were missing from the platform's list.
#[derive(Default)]
struct ListHistory {
    read_at: Option<Instant>,
    /// Daemons that have been listed, with the time at which they were first found missing.
    missing_since: BTreeMap<String, Option<Instant>>,
}

impl PeerDirectory {
    /// Creates an empty directory for the daemon on `own_host`. Hosts in `addresses` are reached
    /// at the address given there, all others at their listed address.
    pub fn new(own_host: &str, addresses: &BTreeMap<String, SocketAddr>) -> Self {
        Self {
            own_host: Rc::from(own_host),
            addresses: Rc::new(addresses.clone()),
            peers: Rc::default(),
            history: Rc::default(),
            generation: Rc::default(),
        }
    }

    /// Returns the name of this daemon's host.
    pub fn own_host(&self) -> &str {
        &self.own_host
    }

    /// Returns for how long a host has been missing from the list; `None` if it is listed, was
    /// never listed, or the list is not fresh.
    pub fn unlisted_for(&self, host: &str) -> Option<Duration> {
        let history = self.history.borrow();
        let is_fresh = history.read_at.is_some_and(|t| t.elapsed() < MAX_LIST_AGE);
        let missing_since = history.missing_since.get(host).copied().flatten();
        missing_since.filter(|_| is_fresh).map(|t| t.elapsed())
    }

    fn update_history(&self, hosts: &[ListedHost]) {
        let now = Instant::now();
        let daemons = hosts.iter().filter(|h| h.service.is_none());
        let listed: BTreeSet<&str> = daemons.map(|h| h.name.as_str()).collect();
        let mut history = self.history.borrow_mut();
        history.read_at = Some(now);
        for (host, missing_since) in &mut history.missing_since {
            if listed.contains(host.as_str()) {
                *missing_since = None;
            } else {
                missing_since.get_or_insert(now);
            }
        }
        for host in listed {
            history.missing_since.entry(host.to_owned()).or_default();
        }
        let is_kept =
            |since: Option<Instant>| since.is_none_or(|t| t.elapsed() < UNLISTED_RETENTION);
        history.missing_since.retain(|_, since| is_kept(*since));
    }

    /// Replaces the peers by those in the platform's list, without targets and this daemon itself.
    pub fn set_hosts(&self, hosts: &[ListedHost]) {
        self.update_history(hosts);
        let daemons = hosts
            .iter()
            .filter(|h| h.service.is_none() && h.name != *self.own_host);
        let mut peers: Vec<Peer> = daemons
            .map(|h| Peer {
                host: Rc::from(h.name.as_str()),
                data_centre: Rc::from(h.data_centre.as_str()),
                address: self.address_of(&h.name, h.address),
                listed_address: h.address,
                leaving: h.leaving,
            })
            .collect();
        peers.sort_by(|a, b| a.host.cmp(&b.host));
        *self.peers.borrow_mut() = peers;
        self.generation.set(self.generation.get() + 1);
    }

    /// Returns how often the peers were replaced; 0 if they are not known yet.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Returns the address at which this daemon reaches `host`, which is listed at `listed`.
    pub fn address_of(&self, host: &str, listed: SocketAddr) -> SocketAddr {
        self.addresses.get(host).copied().unwrap_or(listed)
    }

    /// Returns all peers, sorted by name. The borrow must end before the next await.
    ///
    /// # Panics
    ///
    /// Panics if called within [`PeerDirectory::set_hosts`], which no caller can do.
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
