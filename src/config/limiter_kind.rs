//! Rate limiter algorithms.

use serde::Deserialize;

/// Algorithm by which the fleet enforces rates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimiterKind {
    /// Each rate is split into slices with one owner each, which grants tokens to all daemons.
    #[default]
    Owned,
    /// Each of N daemons enforces 1/N of each rate by itself.
    StaticSplit,
}
