//! Bounds for one message head.

use std::time::Duration;

/// Bounds for reading one message head.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Most bytes of a head, its final empty line included.
    pub max_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub timeout: Duration,
}
