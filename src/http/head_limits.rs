//! Limits for reading message heads.

use std::time::Duration;

/// Limits for reading one message head.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Maximum size of a head in bytes, including its final empty line.
    pub max_bytes: usize,
    /// Maximum time from the first byte of a head to its last.
    pub timeout: Duration,
}
