//! The token buckets of one slice.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{catalog::Plan, clock::BootTime, limit::TokenBucket};

use super::SliceShare;

/// The token buckets of one slice, one per workspace.
pub struct SliceBuckets {
    share: SliceShare,
    since: BootTime,
    /// Whether no earlier holder granted tokens of the slice.
    is_first: bool,
    buckets: FxHashMap<Rc<str>, TokenBucket>,
}

impl SliceBuckets {
    /// Creates the buckets of a slice whose lease has been held since `since`.
    ///
    /// They start empty, because the previous holder may have granted all tokens; those of the
    /// first holder start full.
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
    /// Returns the time until the next token is due if the bucket is empty.
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
