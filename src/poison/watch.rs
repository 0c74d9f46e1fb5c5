//! Watching for requests that crash targets, together with the other daemons.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use local_sync::oneshot;
use monoio::time::timeout;

use crate::{
    clock::Clock,
    peer::{PeerClient, PeerKind},
};

use super::{Fingerprint, PoisonNotice, PoisonRegister, Verdict};

/// Longest time to tell the other daemons.
const TELL_TIMEOUT: Duration = Duration::from_millis(250);
/// Most daemons of the own data centre that are told.
const MAX_PEERS: usize = 256;
/// Daemons of each other data centre that are told, and tell the rest of theirs.
const RELAYS: usize = 2;
/// Most notices that are under way at a time.
const MAX_TELLING: usize = 8;

/// Watches for requests that crash targets, together with the other daemons.
#[derive(Clone)]
pub struct PoisonWatch {
    register: Rc<RefCell<PoisonRegister>>,
    telling: Rc<RefCell<usize>>,
    peers: PeerClient,
    data_centre: Rc<str>,
    clock: Rc<dyn Clock>,
}

impl PoisonWatch {
    /// Makes the watch of a daemon in `data_centre`.
    pub fn new(peers: PeerClient, data_centre: &str, clock: Rc<dyn Clock>) -> Self {
        Self {
            register: Rc::default(),
            telling: Rc::default(),
            peers,
            data_centre: Rc::from(data_centre),
            clock,
        }
    }

    /// Tells whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.register.borrow().is_empty()
    }

    /// Tells whether a request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        let now = self.clock.now();
        self.register.borrow().is_refused(fingerprint, now)
    }

    /// Takes note that a target answered a request.
    pub fn record_answer(&self, fingerprint: Fingerprint) {
        self.register.borrow_mut().record_answer(fingerprint);
    }

    /// Takes note that `target` died while it had a request of this daemon; returns when the
    /// reachable daemons know, so that a caller who sends the request again through one of them
    /// finds it known.
    pub async fn record_death(&self, fingerprint: Fingerprint, target: &str) -> Verdict {
        let now = self.clock.now();
        let verdict = {
            let mut register = self.register.borrow_mut();
            register.record_death(fingerprint, target, now)
        };
        log::warn!("target {target} died with a request: {verdict:?}");
        let notice = PoisonNotice {
            fingerprint,
            target: target.to_owned(),
            verdict,
            relay: false,
        };
        self.tell_fleet(&notice).await;
        verdict
    }

    /// Takes note of what another daemon tells, and passes it on where that is asked for.
    pub(super) async fn record_notice(&self, notice: &PoisonNotice) {
        let now = self.clock.now();
        let news = self.register.borrow_mut().record_notice(notice, now);
        if let Some(verdict) = news {
            let notice = PoisonNotice {
                verdict,
                relay: false,
                ..notice.clone()
            };
            let watch = self.clone();
            monoio::spawn(async move { watch.tell_fleet(&notice).await });
        }
        if notice.relay {
            let notice = PoisonNotice {
                relay: false,
                ..notice.clone()
            };
            self.tell(&notice, self.own_data_centre()).await;
        }
    }

    async fn tell_fleet(&self, notice: &PoisonNotice) {
        if *self.telling.borrow() >= MAX_TELLING {
            log::warn!("too many notices of crashed targets; one is not told to other daemons");
            return;
        }
        *self.telling.borrow_mut() += 1;
        let relayed = PoisonNotice {
            relay: true,
            ..notice.clone()
        };
        let other = self.tell(&relayed, self.relays());
        let own = self.tell(notice, self.own_data_centre());
        monoio::join!(own, other);
        *self.telling.borrow_mut() -= 1;
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

    /// Tells `hosts` at the same time, and waits until each one answered or the limit passed.
    async fn tell(&self, notice: &PoisonNotice, hosts: Vec<Rc<str>>) {
        let mut told = Vec::new();
        for host in hosts {
            let (tx, rx) = oneshot::channel::<()>();
            let (peers, notice) = (self.peers.clone(), notice.clone());
            monoio::spawn(async move {
                let kind = PeerKind::Poison;
                let _ = peers
                    .call::<_, ()>(&host, kind, &notice, TELL_TIMEOUT)
                    .await;
                let _ = tx.send(());
            });
            told.push(rx);
        }
        let all = async {
            for rx in told {
                let _ = rx.await;
            }
        };
        let _ = timeout(TELL_TIMEOUT, all).await;
    }
}
