//! Answering other daemons' questions for proofs and changes.

use std::rc::Rc;

use crate::{
    clock::Clock,
    peer::{decode, encode, PeerHandler},
    routing::ConfigurationView,
    store::BoxFuture,
};

use super::{FollowedTable, ProofRequest, ProofResponse, StoreConnectivity};

/// The tables that daemons follow for each other.
#[derive(Clone)]
pub struct SharedTables {
    /// The configuration.
    pub configuration: Rc<FollowedTable>,
    /// The targets.
    pub targets: Rc<FollowedTable>,
    /// The daemons of the fleet.
    pub members: Rc<FollowedTable>,
}

/// Answers other daemons' questions.
pub struct ProofHandler {
    /// The configuration in force.
    pub view: ConfigurationView,
    /// What is known of the store.
    pub tables: SharedTables,
    /// When the store answered this daemon.
    pub connectivity: StoreConnectivity,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
}

impl ProofHandler {
    fn answer(&self, req: &ProofRequest) -> ProofResponse {
        let tables = &self.tables;
        let now = self.clock.now();
        ProofResponse {
            age: self.view.freshness().age(now),
            direct: self.connectivity.is_connected(now),
            configuration: tables.configuration.delta_since(req.configuration),
            targets: tables.targets.delta_since(req.targets),
            members: tables.members.delta_since(req.members),
        }
    }
}

impl PeerHandler for ProofHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let req: ProofRequest = decode(body)?;
            encode(&self.answer(&req))
        })
    }
}
