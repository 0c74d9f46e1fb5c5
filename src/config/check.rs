//! Validation of parsed settings.

use std::ops::RangeInclusive;

use super::{LimitSettings, Settings};

/// Allowed range of `head_bytes`; the head decoder panics on a header name of 64 KiB.
const HEAD_BYTES: RangeInclusive<usize> = 1024..=60 * 1024;
/// Minimum length of a secret.
const MIN_SECRET_LEN: usize = 16;

/// A setting with an invalid value.
pub(super) struct InvalidSetting {
    /// Key of the setting.
    pub(super) key: &'static str,
    /// Description of the expected value.
    pub(super) expected: &'static str,
}

/// Returns the first invalid setting of a daemon.
pub(super) fn check(settings: &Settings) -> Option<InvalidSetting> {
    let invalid = |key, expected| Some(InvalidSetting { key, expected });
    if !is_valid_name(&settings.host) {
        return invalid("host", "expected 1 to 64 letters, digits, '-', '_' or '.'");
    }
    if !is_valid_name(&settings.data_centre) {
        return invalid(
            "data_centre",
            "expected 1 to 64 letters, digits, '-', '_' or '.'",
        );
    }
    if !are_valid_secrets(&settings.fleet_secrets) {
        return invalid(
            "fleet_secrets",
            "expected one or more secrets of at least 16 characters",
        );
    }
    if settings.key_secret.len() < MIN_SECRET_LEN {
        return invalid("key_secret", "expected at least 16 characters");
    }
    if !are_valid_secrets(&settings.operator_tokens) {
        return invalid(
            "operator_tokens",
            "expected one or more tokens of at least 16 characters",
        );
    }
    if !(0.0..=1.0).contains(&settings.floor) {
        return invalid("floor", "expected a share from 0 to 1");
    }
    check_limits(&settings.limits)
}

/// Returns the first invalid limit.
pub(super) fn check_limits(limits: &LimitSettings) -> Option<InvalidSetting> {
    let invalid = |key, expected| Some(InvalidSetting { key, expected });
    if limits.connections == 0 {
        return invalid("connections", "expected at least 1");
    }
    if limits.in_flight == 0 {
        return invalid("in_flight", "expected at least 1");
    }
    if !HEAD_BYTES.contains(&limits.head_bytes) {
        return invalid("head_bytes", "expected 1024 to 61440");
    }
    if limits.buffered_bytes < limits.buffered_body_bytes {
        return invalid("buffered_bytes", "expected at least buffered_body_bytes");
    }
    let durations = [
        ("head_ms", limits.head_timeout),
        ("idle_ms", limits.idle_timeout),
        ("deadline_ms", limits.deadline),
        ("connect_ms", limits.connect_timeout),
        ("body_part_ms", limits.body_part_timeout),
        ("shutdown_ms", limits.shutdown_timeout),
    ];
    let zero = durations.iter().find(|(_, time)| time.is_zero());
    zero.and_then(|(key, _)| invalid(key, "expected more than 0"))
}

fn is_valid_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= 64 && text.chars().all(is_allowed)
}

fn are_valid_secrets(secrets: &[String]) -> bool {
    !secrets.is_empty() && secrets.iter().all(|s| s.len() >= MIN_SECRET_LEN)
}
