//! Identity of a session.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identity of a session: the host's name and a random part that no other session has.
///
/// A daemon process has one session at a time, and starts a new one after the previous one ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionId(String);

impl SessionId {
    /// Creates the identity of a session on `host`.
    pub fn new(host: &str, random: u64) -> Self {
        Self(format!("{host}/{random:016x}"))
    }

    /// Creates an identity from the key of a session's row.
    pub fn from_key(key: &str) -> Self {
        Self(key.to_owned())
    }

    /// Returns the name of the host.
    pub fn host(&self) -> &str {
        self.0.split('/').next().unwrap_or_default()
    }

    /// Returns the identity as text, which is the key of the session's row.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
