//! State of an entry daemon that does not depend on fleet membership.

use std::rc::Rc;

use monoio::net::TcpListener;

use crate::{
    admission::AdmissionHandle,
    catalog::KeyHasher,
    clock::{Clock, SystemClock},
    config::{FrontSettings, KEY_PROOF_MARGIN},
    follow::{join_fleet, JoinParts, JoinedFleet, MemberRow, SharedReaderRole, StoreConnectivity},
    lifecycle::{readiness_server_task, ReadinessServer, ShutdownSignal},
    metrics::Metrics,
    peer::PeerDirectory,
    platform::{PlatformHeadFormat, RowClient},
    proxy::{AccessPolicy, HeadFormat},
    routing::{ConfigurationView, EraGate, RoutingPolicy},
    store::RowStore,
};

/// State of a daemon that does not depend on fleet membership.
pub(super) struct FrontBase {
    pub(super) settings: Rc<FrontSettings>,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) store: Rc<dyn RowStore>,
    pub(super) heads: Rc<dyn HeadFormat>,
    pub(super) view: ConfigurationView,
    pub(super) policy: Rc<dyn AccessPolicy>,
    pub(super) connectivity: StoreConnectivity,
}

impl FrontBase {
    pub(super) fn new(settings: Rc<FrontSettings>) -> Self {
        let metrics = Rc::new(Metrics::default());
        let heads: Rc<dyn HeadFormat> = Rc::new(PlatformHeadFormat);
        let key_secret = format!("{:032x}", fastrand::u128(..));
        let max_age = settings.max_key_withdrawal - KEY_PROOF_MARGIN;
        let view = ConfigurationView::new(KeyHasher::new(&key_secret), max_age);
        if settings.first_start {
            view.update_eras(EraGate::trust_start);
        }
        Self {
            clock: Rc::new(SystemClock),
            store: Rc::new(RowClient::new(settings.store_address, metrics.clone())),
            policy: Rc::new(RoutingPolicy::new(view.clone(), heads.clone())),
            connectivity: StoreConnectivity::default(),
            settings,
            metrics,
            heads,
            view,
        }
    }

    pub(super) fn start_readiness_server(&self, listener: TcpListener, draining: &ShutdownSignal) {
        let server = ReadinessServer {
            policy: self.policy.clone(),
            draining: draining.clone(),
            metrics: self.metrics.clone(),
            clock: self.clock.clone(),
        };
        monoio::spawn(readiness_server_task(Rc::new(server), listener));
    }

    pub(super) fn admission(
        &self,
        role: &SharedReaderRole,
        directory: &PeerDirectory,
    ) -> AdmissionHandle {
        AdmissionHandle::new(
            self.view.clone(),
            role.clone(),
            directory.clone(),
            self.metrics.clone(),
            self.clock.clone(),
        )
    }

    pub(super) fn member_row(&self) -> MemberRow {
        MemberRow {
            data_centre: self.settings.data_centre.clone(),
            address: self.settings.peer_address,
            leaving: false,
        }
    }

    /// Registers this daemon in the fleet.
    pub(super) async fn join(&self) -> JoinedFleet {
        let row = self.member_row();
        let parts = JoinParts {
            store: &*self.store,
            host: &self.settings.host,
            row: &row,
            first_start: self.settings.first_start,
        };
        join_fleet(&parts).await
    }
}
