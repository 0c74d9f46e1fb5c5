//! Bucket levels that are passed on when a slice changes its owner.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

/// The level of one workspace's bucket.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceLevel {
    /// The workspace.
    pub workspace: String,
    /// Tokens in its bucket.
    pub level: f64,
}

/// Initial levels of the buckets of a slice.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BucketLevels {
    /// Known levels, one per workspace.
    pub workspaces: Vec<WorkspaceLevel>,
    /// Time, ms, for which all other buckets have been refilled from empty; `None` if they are
    /// full.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "idle_ms")]
    pub refill_time: Option<Duration>,
}

impl BucketLevels {
    /// Returns levels of empty buckets, for a slice whose former owner may have used all tokens.
    pub fn empty() -> Self {
        Self {
            workspaces: Vec::new(),
            refill_time: Some(Duration::ZERO),
        }
    }

    /// Returns levels of full buckets, for a slice that never had an owner.
    pub fn full() -> Self {
        Self {
            workspaces: Vec::new(),
            refill_time: None,
        }
    }
}
