//! The daemons of the fleet, as the platform lists them.

use std::{
    cell::{Ref, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::store::ListedHost;

/// Time for which the list counts as read lately.
const LIST_FRESH: Duration = Duration::from_secs(5);
/// Time for which it is remembered that a host was dropped.
const KEEP_DROPPED: Duration = Duration::from_secs(3600);

/// Another daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of its host.
    pub host: Rc<str>,
    /// Its data centre.
    pub data_centre: Rc<str>,
    /// Address by which this daemon reaches it.
    pub address: SocketAddr,
    /// Address that the platform lists.
    pub listed_address: SocketAddr,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// The other daemons of the fleet, as the platform last listed them.
#[derive(Clone)]
pub struct PeerDirectory {
    own_host: Rc<str>,
    addresses: Rc<BTreeMap<String, SocketAddr>>,
    peers: Rc<RefCell<Vec<Peer>>>,
    listing: Rc<RefCell<Listing>>,
}

/// What the platform's list said of daemons over time.
#[derive(Default)]
struct Listing {
    read_at: Option<Instant>,
    /// Daemons that were listed once, and when those that are no longer listed were missed first.
    seen: BTreeMap<String, Option<Instant>>,
}

impl PeerDirectory {
    /// Makes an empty directory of the daemon `own_host`, which reaches the hosts of `addresses`
    /// there and all others as listed.
    pub fn new(own_host: &str, addresses: &BTreeMap<String, SocketAddr>) -> Self {
        Self {
            own_host: Rc::from(own_host),
            addresses: Rc::new(addresses.clone()),
            peers: Rc::default(),
            listing: Rc::default(),
        }
    }

    /// Returns the name of this daemon's host.
    pub fn own_host(&self) -> &str {
        &self.own_host
    }

    /// Tells for how long a host of the fleet has been dropped from the list; none while it is
    /// listed, was never listed, or the list was not read lately.
    pub fn unlisted_for(&self, host: &str) -> Option<Duration> {
        let listing = self.listing.borrow();
        let is_fresh = listing.read_at.is_some_and(|t| t.elapsed() < LIST_FRESH);
        let missed = listing.seen.get(host).copied().flatten();
        missed.filter(|_| is_fresh).map(|t| t.elapsed())
    }

    fn note_listing(&self, hosts: &[ListedHost]) {
        let now = Instant::now();
        let daemons = hosts.iter().filter(|h| h.service.is_none());
        let listed: BTreeSet<&str> = daemons.map(|h| h.name.as_str()).collect();
        let mut listing = self.listing.borrow_mut();
        listing.read_at = Some(now);
        for (host, missed) in &mut listing.seen {
            if listed.contains(host.as_str()) {
                *missed = None;
            } else {
                missed.get_or_insert(now);
            }
        }
        for host in listed {
            listing.seen.entry(host.to_owned()).or_default();
        }
        let is_kept = |missed: Option<Instant>| missed.is_none_or(|t| t.elapsed() < KEEP_DROPPED);
        listing.seen.retain(|_, missed| is_kept(*missed));
    }

    /// Takes over the platform's list; targets and this daemon itself are skipped.
    pub fn set_hosts(&self, hosts: &[ListedHost]) {
        self.note_listing(hosts);
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
