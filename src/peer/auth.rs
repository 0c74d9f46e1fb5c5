//! Message authentication with the shared fleet secret.

use std::{cell::RefCell, fmt::Write, rc::Rc};

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Length of a nonce in bytes.
const NONCE_BYTES: usize = 16;

/// Random bytes chosen by the receiver that bind messages to one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Nonce(pub [u8; NONCE_BYTES]);

impl Nonce {
    /// Creates a random nonce; `None` if the system random source fails.
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

/// The fields covered by an authentication code.
#[derive(Debug, Clone, Copy)]
pub(super) struct SignedMessage<'a> {
    pub(super) direction: Direction,
    pub(super) from: &'a str,
    pub(super) nonce: Nonce,
    pub(super) sequence: u64,
    pub(super) body: &'a [u8],
}

/// The fleet secrets; the first one signs, any of them verifies, so that they can be rotated. Clones
/// share one state.
#[derive(Clone, Default)]
pub struct FleetSecrets {
    macs: Rc<RefCell<Vec<Hmac<Sha256>>>>,
}

impl FleetSecrets {
    /// Creates the signing and verification keys from `secrets`.
    pub fn new(secrets: &[String]) -> Self {
        let new = Self::default();
        new.set(secrets);
        new
    }

    /// Replaces the secrets. Without any, no message is signed or accepted.
    ///
    /// # Panics
    ///
    /// Never panics, as HMAC accepts keys of any length.
    pub fn set(&self, secrets: &[String]) {
        let mac = |s: &String| {
            Hmac::new_from_slice(s.as_bytes()).expect("HMAC accepts keys of any length")
        };
        *self.macs.borrow_mut() = secrets.iter().map(mac).collect();
    }

    /// Returns the authentication code of `msg` as hexadecimal digits; empty without a secret.
    pub(super) fn sign(&self, msg: &SignedMessage<'_>) -> String {
        let Some(mac) = self.macs.borrow().first().cloned() else {
            return String::new();
        };
        let mac = update_mac(mac, msg);
        let mut text = String::with_capacity(64);
        for b in mac.finalize().into_bytes() {
            let _ = write!(text, "{b:02x}");
        }
        text
    }

    /// Returns whether `code` is a valid authentication code of `msg` under any of the secrets.
    pub(super) fn verify(&self, msg: &SignedMessage<'_>, code: &str) -> bool {
        let Some(code) = from_hex(code) else {
            return false;
        };
        let is_valid =
            |mac: &Hmac<Sha256>| update_mac(mac.clone(), msg).verify_slice(&code).is_ok();
        self.macs.borrow().iter().any(is_valid)
    }
}

fn update_mac(mut mac: Hmac<Sha256>, msg: &SignedMessage<'_>) -> Hmac<Sha256> {
    mac.update(match msg.direction {
        Direction::Request => b"request",
        Direction::Response => b"response",
    });
    mac.update(&msg.nonce.0);
    mac.update(&msg.sequence.to_be_bytes());
    mac.update(&(msg.from.len() as u64).to_be_bytes());
    mac.update(msg.from.as_bytes());
    mac.update(msg.body);
    mac
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || text.len() % 2 != 0 {
        return None;
    }
    let digits = |i| u8::from_str_radix(&text[i..i + 2], 16).ok();
    (0..text.len()).step_by(2).map(digits).collect()
}
