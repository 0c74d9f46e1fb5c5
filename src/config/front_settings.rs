//! The settings of one entry daemon on the users' platform.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use serde_with::{serde_as, DurationSecondsWithFrac};

use crate::health::Profile;

use super::{check::Fault, LimitSettings};

/// Time below the operator's bound at which keys stop working without proof.
pub const KEY_PROOF_MARGIN: Duration = Duration::from_millis(600);

/// The settings of one entry daemon on the users' platform.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    /// Name of this host, unique in the fleet.
    pub host: String,
    /// Data centre of this host.
    pub data_centre: String,
    /// All data centres of the fleet.
    pub data_centres: Vec<String>,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address on which the balancer's check and the metrics are served.
    pub ready_address: SocketAddr,
    /// Address on which other daemons are served.
    pub peer_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Longest time for which a withdrawn key may work, s.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "key_withdrawal_s")]
    pub max_key_withdrawal: Duration,
    /// Time from the stop signal until the process is killed, s.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "shutdown_s")]
    pub shutdown_timeout: Duration,
    /// Smallest share of a service's live capacity that stays in use, from 0 to 1.
    pub floor: f64,
    /// Requests above rate and burst that a workspace may get over the whole fleet.
    pub quota_slack: f64,
    /// What weighs most when targets are judged: `few_false_ejections` or `fast_detection`.
    #[serde(default)]
    pub profile: Profile,
    /// Bounds of this daemon.
    #[serde(default)]
    pub limits: LimitSettings,
}

impl FrontSettings {
    /// Returns the first fault, by its key and what was expected.
    pub(super) fn check(&self) -> Option<Fault> {
        let fault = |key, expected| Some(Fault { key, expected });
        if !self.data_centres.contains(&self.data_centre) {
            return fault("data_centres", "expected the own data centre among them");
        }
        if self.max_key_withdrawal <= KEY_PROOF_MARGIN {
            return fault("key_withdrawal_s", "expected more than 0.6");
        }
        if self.shutdown_timeout <= Duration::from_secs(1) {
            return fault("shutdown_s", "expected more than 1");
        }
        if !(0.0..=1.0).contains(&self.floor) {
            return fault("floor", "expected a share from 0 to 1");
        }
        if !self.quota_slack.is_finite() || self.quota_slack < 0.0 {
            return fault("quota_slack", "expected a number from 0 on");
        }
        None
    }
}
