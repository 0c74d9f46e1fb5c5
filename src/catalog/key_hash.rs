//! Keyed hashes of callers' keys.

use std::fmt;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sha2::Sha256;

/// Bytes of a stored key hash.
const HASH_BYTES: usize = 16;

/// The keyed hash of a caller's key, which does not reveal the key itself.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(#[serde_as(as = "Hex")] [u8; HASH_BYTES]);

impl KeyHash {
    /// Creates a hash from its bytes.
    pub const fn from_bytes(bytes: [u8; HASH_BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

/// Hashes callers' keys with the fleet's key secret.
#[derive(Clone)]
pub struct KeyHasher {
    mac: Hmac<Sha256>,
}

impl KeyHasher {
    /// Creates a hasher with `secret`.
    ///
    /// # Panics
    ///
    /// Never: HMAC accepts a secret of any length.
    pub fn new(secret: &str) -> Self {
        let mac = Hmac::new_from_slice(secret.as_bytes()).expect("any length is accepted");
        Self { mac }
    }

    /// Returns the hash of `key`.
    pub fn hash(&self, key: &[u8]) -> KeyHash {
        let mut mac = self.mac.clone();
        mac.update(key);
        let full = mac.finalize().into_bytes();
        let mut bytes = [0; HASH_BYTES];
        bytes.copy_from_slice(&full[..HASH_BYTES]);
        KeyHash(bytes)
    }
}
