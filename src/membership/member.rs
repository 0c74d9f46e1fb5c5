//! A member of the quorum.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Incarnation;

/// A daemon that counts in quorum decisions about revisions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the daemon's run.
    pub incarnation: Incarnation,
    /// Name of its host.
    pub host: String,
    /// Address at which other daemons reach it.
    pub address: SocketAddr,
}

/// Stage of a member in a change of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It counts in the new set only.
    Joining,
    /// It counts in the old and the new set.
    Settled,
    /// It counts in the old set only.
    Leaving,
}
