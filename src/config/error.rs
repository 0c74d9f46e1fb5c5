//! Errors in a settings file.

use std::{fmt, path::PathBuf};

/// Reason why a settings file was rejected.
#[derive(Debug)]
pub struct SettingsError {
    /// Path of the file.
    pub file: PathBuf,
    /// Line of the error, starting at 1; `None` if it is not known.
    pub line: Option<usize>,
    /// Key of the invalid setting, such as `limits.connections`.
    pub key: String,
    /// The expected value, or the message of the reader or parser.
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
