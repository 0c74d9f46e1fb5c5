//! The tables that daemons replicate to each other.

use std::rc::Rc;

use super::{FollowedTable, ProofRequest};

/// The tables that daemons replicate to each other.
#[derive(Clone)]
pub struct SharedTables {
    /// The configuration.
    pub configuration: Rc<FollowedTable>,
    /// The targets.
    pub targets: Rc<FollowedTable>,
    /// The daemons of the fleet.
    pub members: Rc<FollowedTable>,
}

impl SharedTables {
    /// Returns the versions of the copies.
    pub fn versions(&self) -> ProofRequest {
        ProofRequest {
            configuration: self.configuration.version(),
            targets: self.targets.version(),
            members: self.members.version(),
        }
    }
}
