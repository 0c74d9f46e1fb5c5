//! Fleet-wide tracking of poison requests.

use std::{cell::RefCell, rc::Rc, time::Duration};

use crate::{
    clock::{BootTime, Clock},
    peer::{FleetBroadcast, MessageKind, PeerClient},
};

use super::{Fingerprint, PoisonDetector, PoisonNotice, Refusal, Verdict};

/// Timeout of a broadcast to the other daemons.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of concurrent broadcasts.
const MAX_BROADCASTS: usize = 8;

/// Tracks requests that crash targets and shares the verdicts with the other daemons.
#[derive(Clone)]
pub struct PoisonTracker {
    detector: Rc<RefCell<PoisonDetector>>,
    active_broadcasts: Rc<RefCell<usize>>,
    broadcast: FleetBroadcast,
    clock: Rc<dyn Clock>,
}

impl PoisonTracker {
    /// Creates the tracker of a daemon in `data_centre`.
    pub fn new(peers: PeerClient, data_centre: &str, clock: Rc<dyn Clock>) -> Self {
        Self {
            detector: Rc::default(),
            active_broadcasts: Rc::default(),
            broadcast: FleetBroadcast::new(peers, data_centre, BROADCAST_TIMEOUT),
            clock,
        }
    }

    /// Returns whether there are no records of any request.
    pub fn is_empty(&self) -> bool {
        self.detector.borrow().is_empty()
    }

    /// Returns how a request is refused; `None` if it is not.
    pub fn refusal(&self, fingerprint: Fingerprint) -> Option<Refusal> {
        let now = self.clock.now();
        self.detector.borrow().refusal(fingerprint, now)
    }

    /// Records that a request is about to be sent, and notifies the other daemons if this is a test
    /// of one that is held back. Returns whether it is.
    pub fn begin_test(&self, fingerprint: Fingerprint) -> bool {
        let now = self.clock.now();
        let Some(notice) = self.detector.borrow_mut().begin_test(fingerprint, now) else {
            return false;
        };
        log::info!("a request that was at work when targets crashed is sent as a test");
        self.spawn_broadcast(notice);
        true
    }

    /// Records that a target answered a request, and notifies the other daemons if they refuse or
    /// suspect it on this daemon's account.
    pub fn record_answer(&self, fingerprint: Fingerprint) {
        let Some(notice) = self.detector.borrow_mut().record_answer(fingerprint) else {
            return;
        };
        log::info!("a target answered a request that was at work when targets crashed: cleared");
        self.spawn_broadcast(notice);
    }

    /// Records that `target` crashed while processing a request that this daemon had sent at `sent`.
    ///
    /// Returns after the reachable daemons have been notified, so that a caller that retries the
    /// request through one of them is subject to the same verdict.
    pub async fn record_crash(
        &self,
        fingerprint: Fingerprint,
        target: &str,
        sent: BootTime,
    ) -> Verdict {
        let now = self.clock.now();
        let notice = {
            let mut detector = self.detector.borrow_mut();
            detector.record_crash(fingerprint, target, sent, now)
        };
        let (verdict, consecutive) = (notice.verdict, notice.consecutive);
        log::warn!(
            "target {target} crashed while processing a request: {verdict:?}, \
             {consecutive} in a row"
        );
        self.broadcast_notice(&notice).await;
        verdict
    }

    /// Applies a notice from another daemon and relays it if requested.
    pub(super) async fn apply_notice(&self, notice: &PoisonNotice) {
        let now = self.clock.now();
        self.detector.borrow_mut().apply_notice(notice, now);
        if notice.relay {
            let notice = PoisonNotice {
                relay: false,
                ..notice.clone()
            };
            let kind = MessageKind::Poison;
            self.broadcast.broadcast_to_data_centre(kind, &notice).await;
        }
    }

    fn spawn_broadcast(&self, notice: PoisonNotice) {
        let tracker = self.clone();
        monoio::spawn(async move { tracker.broadcast_notice(&notice).await });
    }

    async fn broadcast_notice(&self, notice: &PoisonNotice) {
        if *self.active_broadcasts.borrow() >= MAX_BROADCASTS {
            log::warn!(
                "too many concurrent broadcasts; a poison notice is not sent to other daemons"
            );
            return;
        }
        *self.active_broadcasts.borrow_mut() += 1;
        let relayed = PoisonNotice {
            relay: true,
            ..notice.clone()
        };
        let kind = MessageKind::Poison;
        self.broadcast
            .broadcast_to_fleet(kind, notice, &relayed)
            .await;
        *self.active_broadcasts.borrow_mut() -= 1;
    }
}
