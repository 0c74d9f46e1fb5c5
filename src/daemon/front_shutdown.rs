//! Shutdown of an entry daemon.

use std::rc::Rc;

use monoio::time::timeout;

use crate::{
    config::FrontSettings,
    follow::{ReaderRole, SharedReaderRole},
    metrics::{Counter, Metrics},
    peer::{FleetBroadcast, MessageKind},
    proxy::ProxyContext,
    quota::{HandoverMessage, LeaseHandle},
};

use super::runtime::drain;

/// Share of the shutdown time that is available for draining requests.
const DRAIN_SHARE: f64 = 0.9;

/// The roles that a daemon may have for others, and hands over when it stops.
pub(super) struct HeldRoles {
    /// The lease of the local slice.
    pub(super) lease: LeaseHandle,
    /// Whether this daemon reads the store for others.
    pub(super) reader: SharedReaderRole,
    /// Broadcast of changes.
    pub(super) broadcast: FleetBroadcast,
    /// Metrics of this daemon.
    pub(super) metrics: Rc<Metrics>,
}

impl HeldRoles {
    /// Announces to the data centre that this daemon leaves if it reads the store for others. It
    /// goes on reading until it exits.
    async fn announce_reader_leaving(&self) {
        if self.reader.get() != ReaderRole::ForOthers {
            return;
        }
        log::info!("announcing that this reader leaves");
        self.metrics.count(Counter::ReaderStopsAnnounced);
        let msg = HandoverMessage::ReaderLeaving;
        self.broadcast
            .broadcast_to_data_centre(MessageKind::Handover, &msg)
            .await;
    }
}

/// Drains requests in flight within the shutdown time from the settings, and hands over the roles
/// meanwhile.
pub(super) async fn shut_down(
    proxy: &ProxyContext,
    settings: &FrontSettings,
    roles: Option<HeldRoles>,
) {
    log::info!("shutting down");
    let grace = settings.shutdown_timeout.mul_f64(DRAIN_SHARE);
    let end = proxy.clock.now() + grace;
    let hand_over = async {
        if let Some(roles) = roles {
            let all = async {
                monoio::join!(roles.lease.stop(end), roles.announce_reader_leaving());
            };
            let _ = timeout(grace, all).await;
        }
    };
    let notice = settings.limits.drain_notice.min(grace);
    monoio::join!(drain(proxy, notice, grace), hand_over);
    log::info!("stopped");
}
