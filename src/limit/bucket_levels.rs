//! BucketLevels of buckets at a change of owner.

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

/// BucketLevels with which the buckets of a slice begin.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BucketLevels {
    /// The known levels.
    pub workspaces: Vec<WorkspaceLevel>,
    /// Time, ms, for which all other buckets gained tokens from empty; none when they are full.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "idle_ms")]
    pub idle: Option<Duration>,
}

impl BucketLevels {
    /// Returns empty buckets, for a slice whose former owner may have used all.
    pub fn empty() -> Self {
        Self {
            workspaces: Vec::new(),
            idle: Some(Duration::ZERO),
        }
    }

    /// Returns full buckets, for a slice that never had an owner.
    pub fn full() -> Self {
        Self {
            workspaces: Vec::new(),
            idle: None,
        }
    }
}
