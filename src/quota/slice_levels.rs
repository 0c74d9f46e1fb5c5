//! Levels of the buckets of a slice, as they are handed over.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

/// The level of one bucket.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BucketLevel {
    /// Tokens in the bucket when it was last used.
    pub level: f64,
    /// Time, ms, for which it has been refilled since.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle: Duration,
}

/// Levels of the buckets of a slice.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SliceLevels {
    /// Known levels by workspace.
    pub workspaces: BTreeMap<String, BucketLevel>,
    /// Time, ms, for which all other buckets have been refilled from empty; `None` if they are
    /// full.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub refill_time: Option<Duration>,
}

impl SliceLevels {
    /// Returns levels of empty buckets, for a slice whose former holder may have granted all tokens.
    pub fn empty() -> Self {
        Self {
            workspaces: BTreeMap::new(),
            refill_time: Some(Duration::ZERO),
        }
    }

    /// Returns levels of full buckets, for a slice that never had a holder.
    pub fn full() -> Self {
        Self {
            workspaces: BTreeMap::new(),
            refill_time: None,
        }
    }
}
