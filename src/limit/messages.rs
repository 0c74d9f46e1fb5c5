//! Messages by which daemons request tokens and hand over bucket levels.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMicroSeconds};

use crate::lease::SliceId;

use super::BucketLevels;

/// Requests one token from the owner of a slice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The workspace.
    pub workspace: String,
    /// Index of the slice within the workspace's partition.
    pub index: u8,
}

/// The response to a [`TokenRequest`].
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenResponse {
    /// One token, valid for this time, µs, counted from when the request was sent.
    Granted(#[serde_as(as = "DurationMicroSeconds<u64>")] Duration),
    /// No token; the next one is due after this time, µs.
    Exceeded(#[serde_as(as = "DurationMicroSeconds<u64>")] Duration),
    /// The daemon does not own the slice at present, or does not know the workspace.
    NotOwner,
}

/// Hands the bucket levels of one slice to its next owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandoverRequest {
    /// The slice.
    pub slice: SliceId,
    /// Epoch in which the receiver will own the slice.
    pub epoch: u64,
    /// Levels of the slice's buckets.
    pub levels: BucketLevels,
}
