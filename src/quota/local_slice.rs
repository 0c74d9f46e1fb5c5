//! The slice of the local data centre, while the daemon holds its lease.

use std::{cell::RefCell, rc::Rc, time::Duration};

use monoio::time::sleep;

use crate::{catalog::Plan, clock::BootTime, store::StoreVersion};

use super::{HolderChange, ReleasedSlice, SliceBuckets, SliceLease, SliceLevels, SliceShare};

/// Interval of checks whether a handover has ended.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The outcome of taking one token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeOutcome {
    /// A token was taken.
    Granted,
    /// The bucket is empty; the next token is due after this time.
    Exceeded(Duration),
    /// The daemon does not hold the lease of the slice.
    NotHolder,
}

/// State of the handover of the slice to another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Handover {
    NotStarted,
    InProgress,
    /// Ended, with the new holder if one confirmed that it holds the slice.
    Ended(Option<HolderChange>),
}

struct State {
    lease: SliceLease,
    buckets: Option<SliceBuckets>,
    /// A release of the slice to this daemon, until it becomes the holder.
    received: Option<(StoreVersion, SliceLevels)>,
    handover: Handover,
}

/// The slice of the local data centre: its lease and, while it is held, its buckets.
#[derive(Clone)]
pub struct LocalSlice {
    state: Rc<RefCell<State>>,
    share: SliceShare,
}

impl LocalSlice {
    /// Creates a slice whose lease has not been read yet.
    pub fn new(share: SliceShare) -> Self {
        let state = State {
            lease: SliceLease::default(),
            buckets: None,
            received: None,
            handover: Handover::NotStarted,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            share,
        }
    }

    /// Takes one token of `workspace` if the lease is held.
    pub fn take(&self, workspace: &str, plan: &Plan, now: BootTime) -> TakeOutcome {
        let mut state = self.state.borrow_mut();
        if !state.lease.is_held(now) {
            return TakeOutcome::NotHolder;
        }
        match state.buckets.as_mut().map(|b| b.take(workspace, plan, now)) {
            Some(Ok(())) => TakeOutcome::Granted,
            Some(Err(wait)) => TakeOutcome::Exceeded(wait),
            None => TakeOutcome::NotHolder,
        }
    }

    /// Runs `f` on the lease, then updates the buckets: they are dropped if the daemon is no longer
    /// the holder, and replaced by new ones if it is the holder but did not hold the lease at `now`
    /// before `f` ran. These have the levels that the former holder handed over with the version of
    /// the row that `f` replaced.
    pub fn with_lease<T>(&self, now: BootTime, f: impl FnOnce(&mut SliceLease) -> T) -> T {
        let mut state = self.state.borrow_mut();
        let was_held = state.lease.is_held(now);
        let is_first = state.lease.was_never_held();
        let replaced = state.lease.observed_version();
        let res = f(&mut state.lease);
        if !state.lease.is_holder() {
            state.buckets = None;
        } else if !was_held || state.buckets.is_none() {
            let received = state.received.take();
            let levels = received.filter(|(version, _)| Some(*version) == replaced);
            state.buckets = Some(match levels {
                Some((_, levels)) => SliceBuckets::with_levels(self.share, now, levels),
                None => SliceBuckets::new(self.share, now, is_first),
            });
        }
        res
    }

    /// Stops granting tokens for good, and returns the version of the lease row and the levels of
    /// the buckets for a successor; `None` if the lease is not held, or its row was not read in the
    /// era.
    pub fn release(&self, now: BootTime) -> Option<(StoreVersion, SliceLevels)> {
        let mut state = self.state.borrow_mut();
        let version = state.lease.release(now)?;
        let buckets = state.buckets.take();
        state.handover = Handover::InProgress;
        let levels = buckets.map_or_else(SliceLevels::empty, |mut b| b.levels(now));
        Some((version, levels))
    }

    /// Records that the holder has released the slice to this daemon, and returns whether it may
    /// acquire the lease.
    pub fn accept(&self, slice: ReleasedSlice, now: BootTime) -> bool {
        let mut state = self.state.borrow_mut();
        let accepted = state.lease.accept_release(slice.version, now);
        if accepted {
            state.received = Some((slice.version, slice.levels));
        }
        accepted
    }

    /// Records the end of the handover, with the new holder if there is one.
    pub fn end_handover(&self, holder: Option<HolderChange>) {
        self.state.borrow_mut().handover = Handover::Ended(holder);
    }

    /// Returns the new holder if the slice was handed over; waits while the handover is in progress.
    pub async fn new_holder(&self) -> Option<HolderChange> {
        loop {
            let handover = self.state.borrow().handover.clone();
            match handover {
                Handover::NotStarted => return None,
                Handover::Ended(holder) => return holder,
                Handover::InProgress => sleep(HANDOVER_CHECK_INTERVAL).await,
            }
        }
    }

    /// Returns whether the lease is held.
    pub fn is_held(&self, now: BootTime) -> bool {
        self.state.borrow().lease.is_held(now)
    }
}
