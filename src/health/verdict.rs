//! What one piece of work says of its target.

/// What one piece of work says of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It ended well and in time.
    Good,
    /// It took, or still takes, much longer than at the target's siblings.
    Slow,
    /// It failed.
    Failed,
}
