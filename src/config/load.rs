//! Reading and checking of the settings file.

use std::{
    fs,
    io::Read,
    ops::RangeInclusive,
    path::{Path, PathBuf},
};

use json_comments::StripComments;

use super::{LimitSettings, Settings, SettingsError};

/// Bounds of `head_bytes`; the head decoder panics on a header name of 64 KiB.
const HEAD_BYTES: RangeInclusive<usize> = 1024..=60 * 1024;
/// Fewest characters of a secret.
const MIN_SECRET_LEN: usize = 16;

struct Fault {
    key: &'static str,
    expected: &'static str,
}

/// Reads and checks the settings file at `path`.
///
/// # Errors
///
/// Returns the file, line and key of the first fault, and what was expected there.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let text = fs::read_to_string(path).map_err(|e| SettingsError {
        file: path.to_owned(),
        line: None,
        key: String::new(),
        expected: format!("cannot be read: {e}"),
    })?;
    parse(&text, path)
}

/// Parses and checks settings from `text`; `path` serves the error messages.
///
/// # Errors
///
/// Returns the file, line and key of the first fault, and what was expected there.
pub fn parse(text: &str, path: &Path) -> Result<Settings, SettingsError> {
    let file = PathBuf::from(path);
    let mut plain = String::new();
    if let Err(e) = StripComments::new(text.as_bytes()).read_to_string(&mut plain) {
        return Err(SettingsError {
            file,
            line: None,
            key: String::new(),
            expected: format!("JSON with comments: {e}"),
        });
    }
    let mut json = serde_json::Deserializer::from_str(&plain);
    let settings: Settings = match serde_path_to_error::deserialize(&mut json) {
        Ok(settings) => settings,
        Err(e) => {
            return Err(SettingsError {
                file,
                line: Some(e.inner().line()),
                key: e.path().to_string(),
                expected: e.inner().to_string(),
            })
        }
    };
    match check(&settings) {
        None => Ok(settings),
        Some(fault) => Err(SettingsError {
            file,
            line: line_of(&plain, fault.key),
            key: fault.key.to_owned(),
            expected: fault.expected.to_owned(),
        }),
    }
}

fn check(settings: &Settings) -> Option<Fault> {
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

fn check_limits(limits: &LimitSettings) -> Option<Fault> {
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

/// Returns the line, from 1, on which `key` stands.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let quoted = format!("\"{key}\"");
    let found = text.lines().position(|line| line.contains(&quoted));
    found.map(|i| i + 1)
}
