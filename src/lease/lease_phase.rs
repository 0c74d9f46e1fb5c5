//! The phase of a lease.

/// The phase of a lease, which determines what its holder may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeasePhase {
    /// Within the short term: all owned portions may be used.
    Full,
    /// Past the short term, within the long term: only the retained portions may be used.
    Reduced,
    /// Past the long term: nothing may be used.
    Lapsed,
}
