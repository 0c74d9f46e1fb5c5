//! The handover of the local slice when this daemon leaves.

use std::{rc::Rc, time::Duration};

use local_sync::mpsc;

use crate::{
    clock::{BootTime, Clock},
    metrics::{Counter, Metrics},
    peer::{FleetBroadcast, MessageKind, PeerClient},
    store::StoreVersion,
};

use super::{
    HandoverMessage, HandoverPlan, HandoverStep, HolderChange, LocalSlice, ReleaseResponse,
    ReleasedSlice, SliceHolders, SliceStatus, SliceStatusRequest,
};

/// Timeout of the check whether a candidate responds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of candidates that are checked at once.
const CHECKED_AT_ONCE: usize = 3;
/// Largest number of candidates that are checked.
const MAX_CHECKED: usize = 12;

/// Hands the local slice over to another daemon of the data centre.
pub(super) struct SliceHandover {
    pub(super) slice: LocalSlice,
    pub(super) holders: SliceHolders,
    pub(super) peers: PeerClient,
    pub(super) broadcast: FleetBroadcast,
    pub(super) data_centre: String,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) metrics: Rc<Metrics>,
}

impl SliceHandover {
    /// Hands the slice over by `end` if this daemon holds it, and announces the new holder.
    ///
    /// Without a candidate that responds, the slice is kept, so that its tokens are granted until
    /// the daemon exits.
    pub(super) async fn run(&self, end: BootTime) {
        let started = self.clock.now();
        if !self.slice.is_held(started) {
            return;
        }
        let centre = self.data_centre.as_str();
        let candidates = self.responding_candidates().await;
        if candidates.is_empty() {
            self.metrics.count(Counter::SliceHandoversFailed);
            log::warn!(data_centre = centre; "no daemon responds that could take over the slice");
            return;
        }
        let Some((version, levels)) = self.slice.release(self.clock.now()) else {
            // The lease has expired, or the store entered a new era in which its row was not read.
            self.metrics.count(Counter::SliceHandoversFailed);
            log::warn!(data_centre = centre; "slice not handed over, its lease expires");
            return;
        };
        let workspaces = levels.workspaces.len();
        let offer = HandoverMessage::Release(ReleasedSlice {
            data_centre: self.data_centre.clone(),
            version,
            levels,
        });
        let mut plan = HandoverPlan::new(candidates, end);
        loop {
            match plan.next(self.clock.now()) {
                HandoverStep::Offer { host, timeout } => {
                    if let Some(version) = self.offer(&host, &offer, timeout).await {
                        plan.record_holder(&host, version);
                    }
                }
                HandoverStep::Done { host, version } => {
                    let took_ms = self.clock.now().since(started).as_millis() as u64;
                    self.metrics.count(Counter::SlicesHandedOver);
                    log::info!(data_centre = centre, holder = &*host, row:? = version,
                        workspaces = workspaces, took_ms = took_ms; "slice handed over");
                    return self.announce(&host, version).await;
                }
                HandoverStep::Failed => {
                    self.slice.end_handover(None);
                    self.metrics.count(Counter::SliceHandoversFailed);
                    log::warn!(data_centre = centre, row:? = version;
                        "slice not handed over, its lease expires");
                    return;
                }
            }
        }
    }

    /// Returns the other daemons of the data centre that respond, the fastest one first, as soon as
    /// there is one.
    async fn responding_candidates(&self) -> Vec<Rc<str>> {
        let mut hosts: Vec<Rc<str>> = {
            let peers = self.peers.directory().peers();
            let local = peers
                .iter()
                .filter(|p| *p.data_centre == *self.data_centre && !p.leaving);
            local.map(|p| p.host.clone()).collect()
        };
        fastrand::shuffle(&mut hosts);
        hosts.truncate(MAX_CHECKED);
        let mut found = Vec::new();
        for group in hosts.chunks(CHECKED_AT_ONCE) {
            let (tx, mut rx) = mpsc::unbounded::channel();
            for host in group {
                let (peers, host, tx) = (self.peers.clone(), host.clone(), tx.clone());
                monoio::spawn(async move {
                    let (kind, req) = (MessageKind::SliceStatus, SliceStatusRequest {});
                    let res =
                        peers.call_repeatable::<_, SliceStatus>(&host, kind, &req, CHECK_TIMEOUT);
                    if res.await.is_ok() {
                        let _ = tx.send(host);
                    }
                });
            }
            drop(tx);
            while let Some(host) = rx.recv().await {
                found.push(host);
            }
            if !found.is_empty() {
                break;
            }
        }
        found
    }

    /// Offers the slice to `host` and returns the version of the row that made it the holder.
    async fn offer(
        &self,
        host: &str,
        offer: &HandoverMessage,
        limit: Duration,
    ) -> Option<StoreVersion> {
        let kind = MessageKind::Handover;
        let res = self
            .peers
            .call_repeatable::<_, ReleaseResponse>(host, kind, offer, limit)
            .await;
        match res {
            Ok(ReleaseResponse {
                version: Some(version),
            }) => Some(version),
            Ok(ReleaseResponse { version: None }) => {
                log::info!(successor = host; "successor did not become the holder of the slice");
                None
            }
            Err(e) => {
                log::info!(successor = host, reason:? = e;
                    "successor did not respond to the handover of the slice");
                None
            }
        }
    }

    async fn announce(&self, host: &str, version: StoreVersion) {
        let change = HolderChange {
            data_centre: self.data_centre.clone(),
            host: host.to_owned(),
            version,
            relayed: false,
        };
        self.holders.announce(&change, self.clock.now());
        self.slice.end_handover(Some(change.clone()));
        let relayed = HandoverMessage::Moved(HolderChange {
            relayed: true,
            ..change.clone()
        });
        let msg = HandoverMessage::Moved(change);
        self.broadcast
            .broadcast_to_fleet(MessageKind::Handover, &msg, &relayed)
            .await;
    }
}
