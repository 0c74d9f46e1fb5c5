//! One daemon that counts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Incarnation;

/// One daemon that counts in decisions about revisions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Identity of its run.
    pub incarnation: Incarnation,
    /// Name of its host.
    pub host: String,
    /// Its address for other daemons.
    pub address: SocketAddr,
}

/// Stage of a member's entry or exit.
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
