//! The rows from which daemons discover each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Table of the daemons of the fleet.
pub const MEMBERS_TABLE: &str = "members";
/// Table of what every daemon reads when it joins: the secret and the holders of the slices.
pub const FLEET_TABLE: &str = "fleet";

/// The row of one daemon, whose key is the name of its host. It is in the part that is named like the
/// data centre of the host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Data centre of the host.
    pub data_centre: String,
    /// Address at which other daemons reach it.
    pub address: SocketAddr,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
}
