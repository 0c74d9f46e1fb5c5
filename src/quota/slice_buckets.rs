//! The token buckets of one slice.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{catalog::Plan, clock::BootTime, limit::TokenBucket};

use super::{BucketLevel, SliceLevels, SliceShare};

/// Largest number of levels that are handed over. They take about 50 KB, which a link of 10 Mbit/s
/// carries in 40 ms.
const MAX_LEVELS: usize = 2000;

/// The token buckets of one slice, one per workspace.
pub struct SliceBuckets {
    share: SliceShare,
    since: BootTime,
    /// Levels at `since` of the buckets that have not been used since.
    initial: BTreeMap<String, BucketLevel>,
    /// Time at `since` for which all other buckets have been refilled from empty; `None` if they are
    /// full.
    refill_time: Option<Duration>,
    buckets: FxHashMap<Rc<str>, TokenBucket>,
}

impl SliceBuckets {
    /// Creates the buckets of a slice whose lease has been held since `since`.
    ///
    /// They start empty, because the previous holder may have granted all tokens; those of the
    /// first holder start full.
    pub fn new(share: SliceShare, since: BootTime, is_first: bool) -> Self {
        let levels = if is_first {
            SliceLevels::full()
        } else {
            SliceLevels::empty()
        };
        Self::with_levels(share, since, levels)
    }

    /// Creates the buckets of a slice that was handed over with these levels. They are not refilled
    /// for the time of the handover.
    pub fn with_levels(share: SliceShare, since: BootTime, levels: SliceLevels) -> Self {
        Self {
            share,
            since,
            initial: levels.workspaces,
            refill_time: levels.refill_time,
            buckets: FxHashMap::default(),
        }
    }

    /// Returns the levels at `now`, for the next holder.
    ///
    /// If there are too many, only the fullest ones are returned, and all others count as empty.
    pub fn levels(&mut self, now: BootTime) -> SliceLevels {
        let elapsed = now.since(self.since);
        let mut workspaces = self.initial.clone();
        workspaces.values_mut().for_each(|l| l.idle += elapsed);
        for (workspace, bucket) in &mut self.buckets {
            let level = BucketLevel {
                level: bucket.level(now),
                idle: Duration::ZERO,
            };
            workspaces.insert(workspace.to_string(), level);
        }
        let mut refill_time = self.refill_time.map(|t| t + elapsed);
        if workspaces.len() > MAX_LEVELS {
            let mut sorted: Vec<_> = workspaces.into_iter().collect();
            sorted.sort_by(|(_, a), (_, b)| b.level.total_cmp(&a.level));
            sorted.truncate(MAX_LEVELS);
            workspaces = sorted.into_iter().collect();
            refill_time = Some(Duration::ZERO);
        }
        SliceLevels {
            workspaces,
            refill_time,
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
        let refilled = |time: Duration| time.as_secs_f64() * rate;
        let level = match self.initial.remove(workspace) {
            Some(initial) => initial.level + refilled(initial.idle),
            None => self.refill_time.map_or(burst, refilled),
        };
        let mut bucket = TokenBucket::new(rate, burst, level, self.since);
        let taken = bucket.take(now);
        self.buckets.insert(Rc::from(workspace), bucket);
        taken
    }
}
