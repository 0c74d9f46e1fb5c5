//! Loads of the simulated fleet, and what happened to its requests.

use super::fleet::RANKS;

/// Faults of the network between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Network {
    Sound,
    LossyPolls,
    CutCentres,
    /// No poll succeeds in the second half of the overload.
    PollsLostAfterStart,
}

/// One run.
#[derive(Clone, Copy)]
pub(super) struct Load {
    /// Load before and after the overload, as a share of the slots.
    pub(super) base: f64,
    /// Load during the overload.
    pub(super) utilization: f64,
    pub(super) admission: bool,
    /// Whether all requests have one rank.
    pub(super) single_rank: bool,
    pub(super) network: Network,
    /// Share of the requests that targets shed at random.
    pub(super) shed_share: f64,
    pub(super) seed: u64,
}

/// A request within its plan.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub(super) at_ms: u64,
    pub(super) rank: usize,
}

/// What happened to the requests within the window.
#[derive(Default)]
pub(super) struct Outcomes {
    pub(super) arrivals: Vec<Arrival>,
    pub(super) answered: [u64; RANKS],
    pub(super) rejected: [u64; RANKS],
    pub(super) failed: [u64; RANKS],
    /// Rejections in the last 500 ms of the window.
    pub(super) rejected_at_end: u64,
    /// Time from the begin of the overload until all daemons reject the least urgent rank, ms.
    pub(super) converged_ms: u64,
    /// Messages and responses besides the polls that daemons send anyway, during the overload.
    pub(super) messages_per_daemon_s: f64,
    /// Mean running and waiting requests per slot, by half seconds.
    pub(super) loads: Vec<f64>,
}

impl std::fmt::Debug for Outcomes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "answered {:?} rejected {:?} failed {:?} loads {:.1?}",
            self.answered, self.rejected, self.failed, self.loads
        )
    }
}
