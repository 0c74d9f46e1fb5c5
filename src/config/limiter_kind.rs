//! How rates are counted.

use serde::Deserialize;

/// How rates are counted over the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimiterKind {
    /// Owners count slices of each rate, and all daemons ask them.
    #[default]
    Owned,
    /// Each of N daemons counts an Nth part of each rate.
    StaticSplit,
}
