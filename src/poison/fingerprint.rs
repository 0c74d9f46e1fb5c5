//! Request fingerprints.

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};
use sha2::{Digest, Sha256};

/// Fingerprint that identifies a request when it is sent again.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(#[serde_as(as = "Bytes")] pub [u8; 16]);

impl Fingerprint {
    /// Computes the fingerprint of a request; `content` is its body, or its idempotency key if the
    /// body is not buffered.
    pub fn new(workspace: &str, method: &str, path_and_query: &str, content: &[u8]) -> Self {
        let mut hash = Sha256::new();
        let parts = [workspace, method, path_and_query].map(str::as_bytes);
        for part in parts.into_iter().chain([content]) {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.finalize()[..16]);
        Self(bytes)
    }
}
