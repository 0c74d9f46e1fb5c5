//! The key of a claim's row.

use sha2::{Digest, Sha256};

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// The key of a claim's row: a hash over workspace, service and the caller's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Derives the row key from a caller's idempotency key.
    pub fn new(workspace: &str, service: &str, key: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [workspace.as_bytes(), service.as_bytes(), key] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let bytes = hash.finalize();
        Self(bytes.iter().map(|b| format!("{b:02x}")).collect())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
