//! The platform's list of hosts, which may be out of date.

use std::net::SocketAddr;

use serde::Deserialize;

use super::{BoxFuture, StoreError};

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address at which it serves.
    pub address: SocketAddr,
    /// Service of a target; `None` for a host of the fleet.
    #[serde(default)]
    pub service: Option<String>,
    /// Requests that a target runs concurrently.
    #[serde(default)]
    pub slots: u32,
    /// Whether the host is draining before it leaves.
    #[serde(default)]
    pub leaving: bool,
    /// Whether a target started recently and is still slow.
    #[serde(default)]
    pub cold: bool,
    /// Start of a target, which tells its incarnations apart; `None` if it is not known.
    #[serde(default)]
    pub born: Option<u64>,
}

/// The platform's list of live and leaving hosts, which may be out of date.
pub trait HostList {
    /// Reads the whole list.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, StoreError>>;
}
