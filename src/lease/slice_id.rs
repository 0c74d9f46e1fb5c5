//! Names of slices.

use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Count of partitions that share the workspaces out.
pub const PARTITION_COUNT: u16 = 256;
/// Count of slices of each partition.
pub const SLICES_PER_PARTITION: u8 = 3;

/// Names one slice: a share of the rate of every workspace in one partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SliceId {
    /// The partition.
    pub partition: u16,
    /// Which of its slices.
    pub index: u8,
}

impl SliceId {
    /// Returns all slices.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITION_COUNT).flat_map(|partition| {
            (0..SLICES_PER_PARTITION).map(move |index| Self { partition, index })
        })
    }

    /// Returns the key of the slice's row.
    pub fn key(self) -> String {
        format!("{:04}-{}", self.partition, self.index)
    }
}

impl FromStr for SliceId {
    type Err = std::num::ParseIntError;

    fn from_str(key: &str) -> Result<Self, Self::Err> {
        let (partition, index) = key.split_once('-').unwrap_or((key, ""));
        Ok(Self {
            partition: partition.parse()?,
            index: index.parse()?,
        })
    }
}

/// Returns the partition of a workspace.
pub fn partition_of(workspace: &str) -> u16 {
    (xxh3_64(workspace.as_bytes()) % u64::from(PARTITION_COUNT)) as u16
}
