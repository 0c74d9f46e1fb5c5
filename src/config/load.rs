//! Reading and checking of the settings file.

use std::{
    fs,
    io::Read,
    path::{Path, PathBuf},
};

use json_comments::StripComments;
use serde::de::DeserializeOwned;

use super::{
    check::{check, check_limits, Fault},
    FrontSettings, Settings, SettingsError,
};

/// Reads and checks the settings file at `path`.
///
/// # Errors
///
/// Returns the file, line and key of the first fault, and what was expected there.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    parse(&read(path)?, path)
}

/// Reads and checks the settings file of an entry daemon at `path`.
///
/// # Errors
///
/// Returns the file, line and key of the first fault, and what was expected there.
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

/// Parses and checks settings from `text`; `path` serves the error messages.
///
/// # Errors
///
/// Returns the file, line and key of the first fault, and what was expected there.
pub fn parse(text: &str, path: &Path) -> Result<Settings, SettingsError> {
    parse_as(text, path, check)
}

/// Parses and checks settings of an entry daemon from `text`; `path` serves the error messages.
///
/// # Errors
///
/// Returns the file, line and key of the first fault, and what was expected there.
pub fn parse_front(text: &str, path: &Path) -> Result<FrontSettings, SettingsError> {
    parse_as(text, path, |settings: &FrontSettings| {
        settings.check().or_else(|| check_limits(&settings.limits))
    })
}

fn parse_as<T: DeserializeOwned>(
    text: &str,
    path: &Path,
    check: impl FnOnce(&T) -> Option<Fault>,
) -> Result<T, SettingsError> {
    let file = PathBuf::from(path);
    let mut plain = String::new();
    if let Err(e) = StripComments::new(text.as_bytes()).read_to_string(&mut plain) {
        return Err(SettingsError {
            file,
            line: None,
            key: String::new(),
            message: format!("JSON with comments: {e}"),
        });
    }
    let mut json = serde_json::Deserializer::from_str(&plain);
    let settings: T = match serde_path_to_error::deserialize(&mut json) {
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
        Some(fault) => Err(SettingsError {
            file,
            line: line_of(&plain, fault.key),
            key: fault.key.to_owned(),
            message: fault.expected.to_owned(),
        }),
    }
}

/// Returns the line, from 1, on which `key` stands.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let quoted = format!("\"{key}\"");
    let found = text.lines().position(|line| line.contains(&quoted));
    found.map(|i| i + 1)
}
