//! Checks of settings that were read.

use std::ops::RangeInclusive;

use super::{LimitSettings, Settings};

/// Bounds of `head_bytes`; the head decoder panics on a header name of 64 KiB.
const HEAD_BYTES: RangeInclusive<usize> = 1024..=60 * 1024;
/// Fewest characters of a secret.
const MIN_SECRET_LEN: usize = 16;

/// The first fault of settings.
pub(super) struct Fault {
    /// Key of the setting.
    pub(super) key: &'static str,
    /// What was expected there.
    pub(super) expected: &'static str,
}

/// Returns the first fault of a daemon's settings.
pub(super) fn check(settings: &Settings) -> Option<Fault> {
    let fault = |key, expected| Some(Fault { key, expected });
    if !is_name(&settings.host) {
        return fault("host", "expected 1 to 64 letters, digits, '-', '_' or '.'");
    }
    if !is_name(&settings.data_centre) {
        return fault(
            "data_centre",
            "expected 1 to 64 letters, digits, '-', '_' or '.'",
        );
    }
    if !are_secrets(&settings.fleet_secrets) {
        return fault(
            "fleet_secrets",
            "expected one or more secrets of at least 16 characters",
        );
    }
    if settings.key_secret.len() < MIN_SECRET_LEN {
        return fault("key_secret", "expected at least 16 characters");
    }
    if !are_secrets(&settings.operator_tokens) {
        return fault(
            "operator_tokens",
            "expected one or more tokens of at least 16 characters",
        );
    }
    if !(0.0..=1.0).contains(&settings.floor) {
        return fault("floor", "expected a share from 0 to 1");
    }
    check_limits(&settings.limits)
}

/// Returns the first fault of a daemon's bounds.
pub(super) fn check_limits(limits: &LimitSettings) -> Option<Fault> {
    let fault = |key, expected| Some(Fault { key, expected });
    if limits.connections == 0 {
        return fault("connections", "expected at least 1");
    }
    if limits.in_flight == 0 {
        return fault("in_flight", "expected at least 1");
    }
    if !HEAD_BYTES.contains(&limits.head_bytes) {
        return fault("head_bytes", "expected 1024 to 61440");
    }
    if limits.buffered_bytes < limits.buffered_body_bytes {
        return fault("buffered_bytes", "expected at least buffered_body_bytes");
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
    zero.and_then(|(key, _)| fault(key, "expected more than 0"))
}

fn is_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= 64 && text.chars().all(plain)
}

fn are_secrets(secrets: &[String]) -> bool {
    !secrets.is_empty() && secrets.iter().all(|s| s.len() >= MIN_SECRET_LEN)
}
