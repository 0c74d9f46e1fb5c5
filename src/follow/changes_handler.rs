//! Responds to other daemons' requests for table changes of any size.

use crate::{
    peer::{decode, encode, PeerHandler},
    store::BoxFuture,
};

use super::{delta_encoder::DeltaEncoder, ChangesRequest, ChangesResponse, SharedTables};

/// Responds to [`ChangesRequest`]s of other daemons.
pub struct ChangesHandler {
    configuration: DeltaEncoder,
    targets: DeltaEncoder,
    members: DeltaEncoder,
}

impl ChangesHandler {
    /// Creates a handler that serves the copies in `tables`.
    pub fn new(tables: &SharedTables) -> Self {
        Self {
            configuration: DeltaEncoder::new(tables.configuration.clone()),
            targets: DeltaEncoder::new(tables.targets.clone()),
            members: DeltaEncoder::new(tables.members.clone()),
        }
    }

    fn respond(&self, req: &ChangesRequest) -> ChangesResponse {
        ChangesResponse {
            configuration: self.configuration.encode(&req.configuration),
            targets: self.targets.encode(&req.targets),
            members: self.members.encode(&req.members),
        }
    }
}

impl PeerHandler for ChangesHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let req: ChangesRequest = decode(body)?;
            encode(&self.respond(&req))
        })
    }
}
