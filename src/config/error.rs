//! Errors of the settings file.

use std::{fmt, path::PathBuf};

/// Why a settings file was refused.
#[derive(Debug)]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// Line of the fault, from 1; none when the file could not be read.
    pub line: Option<usize>,
    /// Key of the fault, such as `limits.connections`.
    pub key: String,
    /// What was expected, or what the reader reports.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.key.is_empty() && self.key != "." {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for SettingsError {}
