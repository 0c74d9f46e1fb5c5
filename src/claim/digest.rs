//! The digest that distinguishes requests with the same idempotency key.

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::{Digest, Sha256};

/// Digest of the method, the path and the body of a request.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(#[serde_as(as = "Hex")] pub [u8; 16]);

impl RequestDigest {
    /// Computes the digest of a request; `body` is `None` if it is not completely buffered.
    pub fn new(method: &str, path_and_query: &str, body: Option<&[u8]>) -> Self {
        let mut hash = Sha256::new();
        let known = [u8::from(body.is_some())];
        let body = body.unwrap_or_default();
        let parts = [method.as_bytes(), path_and_query.as_bytes(), &known, body];
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.finalize()[..16]);
        Self(bytes)
    }
}
