//! Responds to other daemons' requests for freshness proofs and table changes.

use std::rc::Rc;

use crate::{
    admission::AdmissionHandle,
    clock::Clock,
    peer::{decode_extended, encode_extended, PeerHandler},
    routing::{ConfigurationView, EraVerdict},
    store::BoxFuture,
};

use super::{
    proof_message::PendingChanges, ProofRequest, ProofResponse, SharedTables, StoreConnectivity,
    TableDelta,
};

/// Bytes of changes in one response; more are fetched separately, so that the proof arrives in time
/// on a narrow link.
const MAX_INLINE_BYTES: usize = 8 * 1024;

/// Responds to [`ProofRequest`]s of other daemons.
pub struct ProofHandler {
    /// The current configuration.
    pub view: ConfigurationView,
    /// Local copies of the store's tables.
    pub tables: SharedTables,
    /// This daemon's connectivity to the store.
    pub connectivity: StoreConnectivity,
    /// Derives admission levels from the load that daemons report with their requests.
    pub admission: AdmissionHandle,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
}

impl ProofHandler {
    fn respond(&self, req: &ProofRequest) -> ProofResponse {
        let tables = &self.tables;
        let now = self.clock.now();
        let mut left = MAX_INLINE_BYTES;
        let mut split = |delta: Option<TableDelta>| {
            let size = delta.as_ref().map_or(0, TableDelta::size);
            let fits = size <= left;
            left -= if fits { size } else { 0 };
            (delta.filter(|_| fits), !fits)
        };
        let (targets, targets_pending) = split(tables.targets.delta_since(req.targets));
        let (members, members_pending) = split(tables.members.delta_since(req.members));
        let verdict = self.view.era_verdict(tables.configuration.era());
        // An unconfirmed copy must not look like one that only lacks a proof; the sender asks another
        // reader.
        let confirmed = Some(&tables.configuration).filter(|_| verdict != EraVerdict::Unconfirmed);
        let (configuration, configuration_pending) =
            split(confirmed.and_then(|table| table.delta_since(req.configuration)));
        let age = self.view.freshness().age(now);
        ProofResponse {
            age: age.filter(|_| verdict == EraVerdict::Proves),
            direct: self.connectivity.is_connected(now),
            configuration,
            targets,
            members,
            pending: PendingChanges {
                configuration: configuration_pending,
                targets: targets_pending,
                members: members_pending,
            },
        }
    }
}

impl PeerHandler for ProofHandler {
    fn handle<'a>(&'a self, from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let (req, report) = decode_extended(body)?;
            let reports = report.is_some();
            if let Some(report) = report {
                self.admission.record_daemon(from, report);
            }
            let levels = reports.then(|| self.admission.levels());
            encode_extended(&self.respond(&req), levels.as_ref())
        })
    }
}
