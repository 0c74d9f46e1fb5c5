//! Bounds and deliberate faults of an exploration.

/// A deliberate fault of the model, which must violate a property.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The owner counts its terms from the response to the renewal.
    TermFromResponse,
    /// The successor starts with full buckets.
    SuccessorStartsFull,
    /// The observer counts the terms from two ticks before it read the row.
    WatchStartsEarly,
    /// The table does not check the version of a renewed row.
    RenewalUnchecked,
    /// The successor takes the whole slice although the former owner retains its fraction.
    TakesWholeSlice,
    /// The shutdown hands over full buckets instead of the actual levels.
    HandsOverFullBuckets,
}

/// Bounds of an exploration.
#[derive(Debug, Clone)]
pub(crate) struct Bounds {
    /// Last tick that is explored.
    pub(crate) ticks: u8,
    /// Maximum number of drains over all buckets.
    pub(crate) drains: u8,
    /// Bounds of each daemon.
    pub(crate) daemons: Vec<DaemonBounds>,
    /// Whether time may pass and other events may occur between a read and its response.
    pub(crate) stale_reads: bool,
    /// Whether the first daemon may shut down.
    pub(crate) shutdown: bool,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct DaemonBounds {
    /// Short term, ticks.
    pub(crate) short: u32,
    /// Long term, ticks.
    pub(crate) long: u32,
    /// Maximum number of renewals.
    pub(crate) renewals: u8,
    /// Maximum number of reads.
    pub(crate) reads: u8,
}
