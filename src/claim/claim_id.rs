//! Identity of a claim.

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// Identity of a claim, by which its owner recognizes the claim after a lost response.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId(#[serde_as(as = "Hex")] pub [u8; 16]);

impl ClaimId {
    /// Creates a random identity.
    pub fn random() -> Self {
        let mut bytes = [0; 16];
        if getrandom::fill(&mut bytes).is_err() {
            fastrand::fill(&mut bytes);
        }
        Self(bytes)
    }
}
