//! Name of one daemon process as an owner.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Names one daemon process as an owner: its host and a random part that no other process has.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionId(String);

impl SessionId {
    /// Creates the name of a process on `host`.
    pub fn new(host: &str, random: u64) -> Self {
        Self(format!("{host}/{random:016x}"))
    }

    /// Reads a name from a row's key.
    pub fn from_key(key: &str) -> Self {
        Self(key.to_owned())
    }

    /// Returns the name of the host.
    pub fn host(&self) -> &str {
        self.0.split('/').next().unwrap_or_default()
    }

    /// Returns the whole name, which is the key of the session's row.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
