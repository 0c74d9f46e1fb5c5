//! Settings of an entry daemon on the users' platform.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use serde_with::{serde_as, DurationSecondsWithFrac};

use crate::{
    health::{Profile, WarmupTolerance},
    retry::FleetRetryLimit,
};

use super::{check::InvalidSetting, LimitSettings};

/// Margin before the operator's limit on key withdrawal at which keys are rejected unless the
/// configuration has been proven fresh.
pub const KEY_PROOF_MARGIN: Duration = Duration::from_millis(600);

/// Largest share of extra requests that hedging may add. It is the usual limit of operators on
/// repeated requests, against which hedged requests count.
const MAX_HEDGING: f64 = 0.2;

/// Settings of an entry daemon on the users' platform.
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
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for the readiness check and the metrics.
    pub ready_address: SocketAddr,
    /// Listen address for other daemons.
    pub peer_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Maximum time for which a withdrawn key may still be accepted, s.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "key_withdrawal_s")]
    pub max_key_withdrawal: Duration,
    /// Time from the termination signal until the process is killed, s.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "shutdown_s")]
    pub shutdown_timeout: Duration,
    /// Minimum share of a service's live capacity that stays in use, from 0 to 1.
    pub floor: f64,
    /// Requests above rate and burst that the whole fleet may admit for a workspace.
    pub quota_slack: f64,
    /// Retries that the whole fleet may send to a service, for each request to it. Without this
    /// setting and `retry_slack` each daemon limits its retries by the answers that it gets.
    pub retry_ratio: Option<f64>,
    /// Retries in addition to `retry_ratio` that the whole fleet may send to a service.
    pub retry_slack: Option<f64>,
    /// Factor of the rate that a cold target takes, up to which the whole fleet may send to it.
    /// Without this setting and `warmup_slack` there is no limit.
    pub warmup_over: Option<f64>,
    /// Requests in addition to `warmup_over` that a cold target may get in a second.
    pub warmup_slack: Option<f64>,
    /// Largest share of extra requests of each service that hedging may add. Without this setting
    /// requests are not hedged.
    pub hedging: Option<f64>,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Trade-off in the health checks of targets: `few_false_ejections` or `fast_detection`.
    #[serde(default)]
    pub profile: Profile,
    /// Resource limits and timeouts of this daemon.
    #[serde(default)]
    pub limits: LimitSettings,
}

impl FrontSettings {
    /// Returns the limit on the retries of the whole fleet, if there is one.
    pub fn retry_limit(&self) -> Option<FleetRetryLimit> {
        Some(FleetRetryLimit {
            ratio: self.retry_ratio?,
            slack: self.retry_slack?,
        })
    }

    /// Returns the tolerance above the rates that cold targets take; `None` if there is no limit.
    pub fn warmup_tolerance(&self) -> Option<WarmupTolerance> {
        Some(WarmupTolerance {
            over: self.warmup_over?,
            slack: self.warmup_slack?,
        })
    }

    /// Returns the first invalid setting.
    pub(super) fn check(&self) -> Option<InvalidSetting> {
        let invalid = |key, expected| Some(InvalidSetting { key, expected });
        if !self.data_centres.contains(&self.data_centre) {
            return invalid("data_centres", "expected to contain data_centre");
        }
        if self.max_key_withdrawal <= KEY_PROOF_MARGIN {
            return invalid("key_withdrawal_s", "expected more than 0.6");
        }
        if self.shutdown_timeout <= Duration::from_secs(1) {
            return invalid("shutdown_s", "expected more than 1");
        }
        if !(0.0..=1.0).contains(&self.floor) {
            return invalid("floor", "expected a share from 0 to 1");
        }
        if !self.quota_slack.is_finite() || self.quota_slack < 0.0 {
            return invalid("quota_slack", "expected a non-negative number");
        }
        if self.retry_ratio.is_some_and(|r| !(0.0..=1.0).contains(&r)) {
            return invalid("retry_ratio", "expected a share from 0 to 1");
        }
        let is_valid = |slack: f64| slack.is_finite() && slack >= 0.0;
        if !self.retry_slack.is_none_or(is_valid) {
            return invalid("retry_slack", "expected a non-negative number");
        }
        if self.retry_ratio.is_some() != self.retry_slack.is_some() {
            return invalid("retry_ratio", "expected together with retry_slack");
        }
        let is_factor = |over: f64| over.is_finite() && over >= 1.0;
        if !self.warmup_over.is_none_or(is_factor) {
            return invalid("warmup_over", "expected a number from 1");
        }
        if !self.warmup_slack.is_none_or(is_valid) {
            return invalid("warmup_slack", "expected a non-negative number");
        }
        let is_share = |share: f64| share > 0.0 && share <= MAX_HEDGING;
        if !self.hedging.is_none_or(is_share) {
            return invalid("hedging", "expected a share above 0 and at most 0.2");
        }
        if self.warmup_over.is_some() != self.warmup_slack.is_some() {
            return invalid("warmup_over", "expected together with warmup_slack");
        }
        None
    }
}
