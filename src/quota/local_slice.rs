//! The slice of the local data centre, while the daemon holds its lease.

use std::{cell::RefCell, rc::Rc, time::Duration};

use crate::{catalog::Plan, clock::BootTime};

use super::{SliceBuckets, SliceLease, SliceShare};

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

struct State {
    lease: SliceLease,
    buckets: Option<SliceBuckets>,
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
    /// before `f` ran.
    pub fn with_lease<T>(&self, now: BootTime, f: impl FnOnce(&mut SliceLease) -> T) -> T {
        let mut state = self.state.borrow_mut();
        let was_held = state.lease.is_held(now);
        let is_first = state.lease.was_never_held();
        let res = f(&mut state.lease);
        if !state.lease.is_holder() {
            state.buckets = None;
        } else if !was_held || state.buckets.is_none() {
            state.buckets = Some(SliceBuckets::new(self.share, now, is_first));
        }
        res
    }

    /// Returns whether the lease is held.
    pub fn is_held(&self, now: BootTime) -> bool {
        self.state.borrow().lease.is_held(now)
    }
}
