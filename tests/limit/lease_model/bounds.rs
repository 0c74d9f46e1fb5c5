//! Bounds and deliberate faults of one exploration.

/// A deliberate fault of the model, which a property must catch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The owner counts its lease from the answer.
    LeaseFromAnswer,
    /// The taker begins with full buckets.
    TakerStartsFull,
    /// The taker counts the lease from two ticks before it saw the row.
    WatchFromEarlier,
    /// The table ignores the version of a renewed row.
    RenewalUnchecked,
    /// The taker takes all, and the former owner keeps its fraction as well.
    TakesAll,
    /// Lists and levels are right, but the handed-over levels are full.
    HandsOverFull,
}

/// Bounds of one exploration.
#[derive(Debug, Clone)]
pub(crate) struct Bounds {
    /// Last tick.
    pub(crate) ticks: u8,
    /// Most drains of all buckets together.
    pub(crate) drains: u8,
    /// Of each daemon: short term, long term (ticks), most renewals, most reads.
    pub(crate) daemons: Vec<DaemonBounds>,
    /// Whether time and other events may pass between a read and its answer.
    pub(crate) stale_reads: bool,
    /// Whether the first daemon may shut down.
    pub(crate) shutdown: bool,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct DaemonBounds {
    pub(crate) short: u32,
    pub(crate) long: u32,
    pub(crate) renewals: u8,
    pub(crate) reads: u8,
}
