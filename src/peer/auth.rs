//! Proof of the fleet secret.

use std::fmt::Write;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Bytes of a nonce.
const NONCE_BYTES: usize = 16;

/// Random bytes of the receiving side that bind messages to one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Nonce(pub [u8; NONCE_BYTES]);

impl Nonce {
    /// Makes a random nonce; none when the system gives no randomness.
    pub fn random() -> Option<Self> {
        let mut bytes = [0; NONCE_BYTES];
        getrandom::fill(&mut bytes).ok()?;
        Some(Self(bytes))
    }
}

/// Direction of an authenticated body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Direction {
    Request,
    Response,
}

/// What an authentication code covers.
#[derive(Debug, Clone, Copy)]
pub(super) struct Signed<'a> {
    pub(super) direction: Direction,
    pub(super) from: &'a str,
    pub(super) nonce: Nonce,
    pub(super) sequence: u64,
    pub(super) body: &'a [u8],
}

/// The secrets that daemons prove to each other; the first one signs, each one is accepted.
#[derive(Clone)]
pub struct FleetSecrets {
    macs: Vec<Hmac<Sha256>>,
}

impl FleetSecrets {
    /// Makes the proof under `secrets`.
    ///
    /// # Panics
    ///
    /// Panics when there is no secret, which the check of the settings excludes.
    pub fn new(secrets: &[String]) -> Self {
        assert!(!secrets.is_empty(), "settings hold at least one secret");
        let mac = |s: &String| Hmac::new_from_slice(s.as_bytes()).expect("any length is accepted");
        Self {
            macs: secrets.iter().map(mac).collect(),
        }
    }

    /// Returns the authentication code in hexadecimal digits.
    pub(super) fn sign(&self, signed: &Signed<'_>) -> String {
        let mac = cover(self.macs[0].clone(), signed);
        let mut text = String::with_capacity(64);
        for b in mac.finalize().into_bytes() {
            let _ = write!(text, "{b:02x}");
        }
        text
    }

    /// Tells whether `code` proves one of the secrets.
    pub(super) fn verify(&self, signed: &Signed<'_>, code: &str) -> bool {
        let Some(code) = from_hex(code) else {
            return false;
        };
        let proves = |mac: &Hmac<Sha256>| cover(mac.clone(), signed).verify_slice(&code).is_ok();
        self.macs.iter().any(proves)
    }
}

fn cover(mut mac: Hmac<Sha256>, signed: &Signed<'_>) -> Hmac<Sha256> {
    mac.update(match signed.direction {
        Direction::Request => b"request",
        Direction::Response => b"response",
    });
    mac.update(&signed.nonce.0);
    mac.update(&signed.sequence.to_be_bytes());
    mac.update(&(signed.from.len() as u64).to_be_bytes());
    mac.update(signed.from.as_bytes());
    mac.update(signed.body);
    mac
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || text.len() % 2 != 0 {
        return None;
    }
    let digits = |i| u8::from_str_radix(&text[i..i + 2], 16).ok();
    (0..text.len()).step_by(2).map(digits).collect()
}
