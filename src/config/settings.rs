//! The settings of one daemon.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Deserialize;

use crate::health::Profile;

use super::{LimitSettings, LimiterKind};

/// The settings of one daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host, unique in the fleet.
    pub host: String,
    /// Data centre of this host.
    pub data_centre: String,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address on which other daemons are served.
    pub peer_address: SocketAddr,
    /// Address on which operators and the balancer's check are served.
    pub operator_address: SocketAddr,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Secrets that daemons prove to each other; the first one signs, each one is accepted.
    pub fleet_secrets: Vec<String>,
    /// Secret of the keyed hash under which callers' keys are stored.
    pub key_secret: String,
    /// Tokens that operators present; each one is accepted.
    pub operator_tokens: Vec<String>,
    /// Addresses by which this host reaches other hosts of the fleet, where they differ from those
    /// that the platform lists.
    #[serde(default)]
    pub peer_addresses: BTreeMap<String, SocketAddr>,
    /// Addresses of other hosts that are asked for the lists while the platform cannot be reached.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Whether the host goes on serving while it can prove to hold the newest lists neither by the
    /// platform nor by other hosts; withdrawn keys then work there for as long as that lasts.
    #[serde(default)]
    pub serve_withdrawn_keys_while_cut_off: bool,
    /// Smallest share of a service's live capacity that stays in use, from 0 to 1.
    #[serde(default = "default_floor")]
    pub floor: f64,
    /// What weighs most when targets are judged: `few_false_ejections` or `fast_detection`.
    #[serde(default)]
    pub profile: Profile,
    /// How rates are counted, the same in all daemons of a fleet: `owned` or `static_split`.
    #[serde(default)]
    pub limiter: LimiterKind,
    /// Bounds of this daemon.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Address of a statsd server for the counters; none sends nothing.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
}

fn default_floor() -> f64 {
    0.7
}
