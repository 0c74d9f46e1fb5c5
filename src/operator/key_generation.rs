//! Generation of callers' keys.

use std::fmt::Write;

/// Prefix that identifies a key.
const KEY_PREFIX: &str = "ck_";
/// Number of random bytes in a key.
const KEY_BYTES: usize = 24;

/// Generates a random key; `None` if the system random source fails.
pub(super) fn generate_key() -> Option<String> {
    let mut bytes = [0; KEY_BYTES];
    getrandom::fill(&mut bytes).ok()?;
    let mut key = String::from(KEY_PREFIX);
    for b in bytes {
        let _ = write!(key, "{b:02x}");
    }
    Some(key)
}
