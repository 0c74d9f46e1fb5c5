//! Classification of single requests.

/// Classification of one request, as evidence for or against its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request succeeded in time.
    Good,
    /// The request took, or is taking, much longer than at the target's siblings.
    Slow,
    /// The request failed.
    Failed,
}
