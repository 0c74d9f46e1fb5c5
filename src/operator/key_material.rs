//! Making of callers' keys.

use std::fmt::Write;

/// Prefix by which a key is recognised.
const KEY_PREFIX: &str = "ck_";
/// Random bytes of a key.
const KEY_BYTES: usize = 24;

/// Makes a new random key; none when the system gives no randomness.
pub(super) fn new_key() -> Option<String> {
    let mut bytes = [0; KEY_BYTES];
    getrandom::fill(&mut bytes).ok()?;
    let mut key = String::from(KEY_PREFIX);
    for b in bytes {
        let _ = write!(key, "{b:02x}");
    }
    Some(key)
}
