//! The buckets of one slice.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{catalog::Plan, clock::BootTime, limit::Bucket};

use super::SliceShare;

/// The buckets of one slice, one per workspace.
pub struct SliceBuckets {
    share: SliceShare,
    since: BootTime,
    buckets: FxHashMap<Rc<str>, Bucket>,
}

impl SliceBuckets {
    /// Makes the buckets of a slice that is held since `since`; all were empty then, since the
    /// holder before may have given out all that they held.
    pub fn new(share: SliceShare, since: BootTime) -> Self {
        Self {
            share,
            since,
            buckets: FxHashMap::default(),
        }
    }

    /// Takes one token of `workspace`, whose plan is `plan`.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is due when there is none.
    pub fn take(&mut self, workspace: &str, plan: &Plan, now: BootTime) -> Result<(), Duration> {
        let rate = self.share.rate_per_s(plan);
        let burst = self.share.burst(plan);
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.reshape(rate, burst, now);
            return bucket.take(now);
        }
        let mut bucket = Bucket::new(rate, burst, 0.0, self.since);
        let taken = bucket.take(now);
        self.buckets.insert(Rc::from(workspace), bucket);
        taken
    }
}
