//! What a lease still allows.

/// What a lease still allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeasePhase {
    /// The short term runs: everything owned may be used.
    Full,
    /// Only the long term runs: the kept part of everything owned may be used.
    Reduced,
    /// Nothing may be used.
    Lapsed,
}
