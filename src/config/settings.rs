//! Settings of a daemon.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Deserialize;

use crate::health::Profile;

use super::{LimitSettings, LimiterKind};

/// Settings of a daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host, unique in the fleet.
    pub host: String,
    /// Data centre of this host.
    pub data_centre: String,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for other daemons.
    pub peer_address: SocketAddr,
    /// Listen address for operators and the readiness check.
    pub operator_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Shared secrets of the fleet; the first one signs messages, each one is accepted.
    pub fleet_secrets: Vec<String>,
    /// Secret of the keyed hash with which callers' keys are stored.
    pub key_secret: String,
    /// Bearer tokens of operators; each one is accepted.
    pub operator_tokens: Vec<String>,
    /// Addresses of other hosts of the fleet, where they differ from those listed by the platform.
    #[serde(default)]
    pub peer_addresses: BTreeMap<String, SocketAddr>,
    /// Addresses of other hosts from which the lists are fetched while the platform is unreachable.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Whether the host keeps serving while neither the platform nor other hosts can confirm that
    /// its lists are current. Withdrawn keys are then still accepted there until it reconnects.
    #[serde(default)]
    pub serve_withdrawn_keys_while_cut_off: bool,
    /// Minimum share of a service's live capacity that stays in use, from 0 to 1.
    #[serde(default = "default_floor")]
    pub floor: f64,
    /// Trade-off in the health checks of targets: `few_false_ejections` or `fast_detection`.
    #[serde(default)]
    pub profile: Profile,
    /// Rate limiter algorithm, the same on all daemons of a fleet: `owned` or `static_split`.
    #[serde(default)]
    pub limiter: LimiterKind,
    /// Resource limits and timeouts of this daemon.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Address of a statsd server for the counters; without it they are not exported.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
}

fn default_floor() -> f64 {
    0.7
}
