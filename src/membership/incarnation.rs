//! Identity of one run of a daemon.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// Random identity of one run of a daemon.
///
/// A restarted daemon has lost the revisions it acknowledged, so it counts as a different member.
#[serde_as]
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(#[serde_as(as = "Hex")] pub [u8; 8]);

impl Incarnation {
    /// Generates a random identity; `None` if the system's random generator fails.
    pub fn random() -> Option<Self> {
        let mut bytes = [0; 8];
        getrandom::fill(&mut bytes).ok()?;
        Some(Self(bytes))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
