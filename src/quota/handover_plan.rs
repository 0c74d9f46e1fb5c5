//! The handover of a slice by a holder that leaves, as a state machine.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use crate::{clock::BootTime, store::StoreVersion};

/// Timeout for the response of one successor, which writes the lease row before it responds.
const OFFER_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time that is useful for an offer.
const MIN_OFFER_TIME: Duration = Duration::from_millis(100);

/// The next step of a handover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandoverStep {
    /// Offer the slice to this host.
    Offer {
        /// The host.
        host: Rc<str>,
        /// Timeout for its response.
        timeout: Duration,
    },
    /// The host holds the slice since the row had this version.
    Done {
        /// The new holder.
        host: Rc<str>,
        /// Version of the row.
        version: StoreVersion,
    },
    /// No host has confirmed that it holds the slice; its lease expires.
    Failed,
}

/// Offers a slice to one candidate after the other until one confirms that it holds it.
///
/// A candidate that did not respond may hold the slice all the same. Offering it to another one is
/// safe, because the write of only one of them can find the row unchanged.
#[derive(Debug)]
pub struct HandoverPlan {
    candidates: VecDeque<Rc<str>>,
    end: BootTime,
    holder: Option<(Rc<str>, StoreVersion)>,
}

impl HandoverPlan {
    /// Creates the plan of a handover that must end by `end`.
    pub fn new(candidates: Vec<Rc<str>>, end: BootTime) -> Self {
        Self {
            candidates: candidates.into(),
            end,
            holder: None,
        }
    }

    /// Records that `host` has become the holder by a write that gave the row this version.
    pub fn record_holder(&mut self, host: &Rc<str>, version: StoreVersion) {
        self.holder = Some((host.clone(), version));
    }

    /// Returns the next step.
    pub fn next(&mut self, now: BootTime) -> HandoverStep {
        if let Some((host, version)) = self.holder.clone() {
            return HandoverStep::Done { host, version };
        }
        let left = self.end.since(now);
        if left < MIN_OFFER_TIME {
            return HandoverStep::Failed;
        }
        match self.candidates.pop_front() {
            Some(host) => HandoverStep::Offer {
                host,
                timeout: OFFER_TIMEOUT.min(left),
            },
            None => HandoverStep::Failed,
        }
    }
}
