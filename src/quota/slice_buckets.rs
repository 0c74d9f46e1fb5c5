//! The buckets of one slice.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{catalog::Plan, clock::BootTime, limit::TokenBucket};

use super::SliceShare;

/// The buckets of one slice, one per workspace.
pub struct SliceBuckets {
    share: SliceShare,
    since: BootTime,
    /// Whether nobody gave out tokens of the slice before.
    is_first: bool,
    buckets: FxHashMap<Rc<str>, TokenBucket>,
}

impl SliceBuckets {
    /// Makes the buckets of a slice that is held since `since`.
    ///
    /// All were empty then, since the holder before may have given out what they held; those of
    /// the first holder are full.
    pub fn new(share: SliceShare, since: BootTime, is_first: bool) -> Self {
        Self {
            share,
            since,
            is_first,
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
            bucket.set_limits(rate, burst, now);
            return bucket.take(now);
        }
        let level = if self.is_first { burst } else { 0.0 };
        let mut bucket = TokenBucket::new(rate, burst, level, self.since);
        let taken = bucket.take(now);
        self.buckets.insert(Rc::from(workspace), bucket);
        taken
    }
}
