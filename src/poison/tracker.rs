//! Watching for requests that crash targets, together with the other daemons.

use std::{cell::RefCell, rc::Rc, time::Duration};

use crate::{
    clock::Clock,
    peer::{FleetBroadcast, MessageKind, PeerClient},
};

use super::{Fingerprint, PoisonDetector, PoisonNotice, Verdict};

/// Longest time to tell the other daemons.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(250);
/// Most notices that are under way at a time.
const MAX_BROADCASTS: usize = 8;

/// Watches for requests that crash targets, together with the other daemons.
#[derive(Clone)]
pub struct PoisonTracker {
    detector: Rc<RefCell<PoisonDetector>>,
    broadcasts: Rc<RefCell<usize>>,
    broadcast: FleetBroadcast,
    clock: Rc<dyn Clock>,
}

impl PoisonTracker {
    /// Makes the watch of a daemon in `data_centre`.
    pub fn new(peers: PeerClient, data_centre: &str, clock: Rc<dyn Clock>) -> Self {
        Self {
            detector: Rc::default(),
            broadcasts: Rc::default(),
            broadcast: FleetBroadcast::new(peers, data_centre, BROADCAST_TIMEOUT),
            clock,
        }
    }

    /// Tells whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.detector.borrow().is_empty()
    }

    /// Tells whether a request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        let now = self.clock.now();
        self.detector.borrow().is_refused(fingerprint, now)
    }

    /// Takes note that a target answered a request.
    pub fn record_answer(&self, fingerprint: Fingerprint) {
        self.detector.borrow_mut().record_answer(fingerprint);
    }

    /// Takes note that `target` died while it had a request of this daemon; returns when the
    /// reachable daemons know, so that a caller who sends the request again through one of them
    /// finds it known.
    pub async fn record_crash(&self, fingerprint: Fingerprint, target: &str) -> Verdict {
        let now = self.clock.now();
        let verdict = {
            let mut detector = self.detector.borrow_mut();
            detector.record_crash(fingerprint, target, now)
        };
        log::warn!("target {target} died with a request: {verdict:?}");
        let notice = PoisonNotice {
            fingerprint,
            target: target.to_owned(),
            verdict,
            relay: false,
        };
        self.broadcast_notice(&notice).await;
        verdict
    }

    /// Takes note of what another daemon tells, and passes it on where that is asked for.
    pub(super) async fn apply_notice(&self, notice: &PoisonNotice) {
        let now = self.clock.now();
        let news = self.detector.borrow_mut().apply_notice(notice, now);
        if let Some(verdict) = news {
            let notice = PoisonNotice {
                verdict,
                relay: false,
                ..notice.clone()
            };
            let tracker = self.clone();
            monoio::spawn(async move { tracker.broadcast_notice(&notice).await });
        }
        if notice.relay {
            let notice = PoisonNotice {
                relay: false,
                ..notice.clone()
            };
            let kind = MessageKind::Poison;
            self.broadcast.broadcast_to_data_centre(kind, &notice).await;
        }
    }

    async fn broadcast_notice(&self, notice: &PoisonNotice) {
        if *self.broadcasts.borrow() >= MAX_BROADCASTS {
            log::warn!("too many notices of crashed targets; one is not told to other daemons");
            return;
        }
        *self.broadcasts.borrow_mut() += 1;
        let relayed = PoisonNotice {
            relay: true,
            ..notice.clone()
        };
        let kind = MessageKind::Poison;
        self.broadcast
            .broadcast_to_fleet(kind, notice, &relayed)
            .await;
        *self.broadcasts.borrow_mut() -= 1;
    }
}
