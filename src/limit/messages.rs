//! Messages between daemons about tokens.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::lease::SliceId;

use super::BucketLevels;

/// Asks an owner for one token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The workspace.
    pub workspace: String,
    /// Which of its slices.
    pub index: u8,
}

/// The answer of the daemon that was asked.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenResponse {
    /// One token, to be used within this time from when the ask was sent, µs.
    Granted(#[serde_as(as = "DurationMicroSeconds<u64>")] Duration),
    /// None; one is due after this time, µs.
    Exceeded(#[serde_as(as = "DurationMicroSeconds<u64>")] Duration),
    /// The daemon does not own the slice now, or does not know the workspace.
    NotOwner,
}

/// The levels of one slice at a change of owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandoverRequest {
    /// The slice.
    pub slice: SliceId,
    /// Epoch under which the receiver will own it.
    pub epoch: u64,
    /// BucketLevels of its buckets.
    pub levels: BucketLevels,
}
