//! Loading and validation of settings files.

use std::{
    fs,
    io::Read,
    path::{Path, PathBuf},
};

use json_comments::StripComments;
use serde::de::DeserializeOwned;

use super::{
    check::{check, check_limits, InvalidSetting},
    FrontSettings, Settings, SettingsError,
};

/// Reads and validates the settings file at `path`.
///
/// # Errors
///
/// Returns the file, line and key of the first invalid setting, and what was expected there.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    parse(&read(path)?, path)
}

/// Reads and validates the settings file of an entry daemon at `path`.
///
/// # Errors
///
/// Returns the file, line and key of the first invalid setting, and what was expected there.
pub fn load_front(path: &Path) -> Result<FrontSettings, SettingsError> {
    parse_front(&read(path)?, path)
}

fn read(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|e| SettingsError {
        file: path.to_owned(),
        line: None,
        key: String::new(),
        message: format!("cannot be read: {e}"),
    })
}

/// Parses and validates settings in `text`; `path` is only used in error messages.
///
/// # Errors
///
/// Returns the file, line and key of the first invalid setting, and what was expected there.
pub fn parse(text: &str, path: &Path) -> Result<Settings, SettingsError> {
    parse_and_check(text, path, check)
}

/// Parses and validates settings of an entry daemon in `text`; `path` is only used in errors.
///
/// # Errors
///
/// Returns the file, line and key of the first invalid setting, and what was expected there.
pub fn parse_front(text: &str, path: &Path) -> Result<FrontSettings, SettingsError> {
    parse_and_check(text, path, |settings: &FrontSettings| {
        settings.check().or_else(|| check_limits(&settings.limits))
    })
}

fn parse_and_check<T: DeserializeOwned>(
    text: &str,
    path: &Path,
    check: impl FnOnce(&T) -> Option<InvalidSetting>,
) -> Result<T, SettingsError> {
    let file = PathBuf::from(path);
    let mut json_text = String::new();
    if let Err(e) = StripComments::new(text.as_bytes()).read_to_string(&mut json_text) {
        return Err(SettingsError {
            file,
            line: None,
            key: String::new(),
            message: format!("invalid comment in JSON: {e}"),
        });
    }
    let mut deserializer = serde_json::Deserializer::from_str(&json_text);
    let settings: T = match serde_path_to_error::deserialize(&mut deserializer) {
        Ok(settings) => settings,
        Err(e) => {
            return Err(SettingsError {
                file,
                line: Some(e.inner().line()),
                key: e.path().to_string(),
                message: e.inner().to_string(),
            })
        }
    };
    match check(&settings) {
        None => Ok(settings),
        Some(invalid) => Err(SettingsError {
            file,
            line: find_line(&json_text, invalid.key),
            key: invalid.key.to_owned(),
            message: invalid.expected.to_owned(),
        }),
    }
}

/// Returns the line that contains `key`, starting at 1.
fn find_line(text: &str, key: &str) -> Option<usize> {
    let quoted = format!("\"{key}\"");
    let found = text.lines().position(|line| line.contains(&quoted));
    found.map(|i| i + 1)
}
