//! The slices that a daemon owns, and their token buckets.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use crate::{
    catalog::Plan,
    clock::BootTime,
    lease::{retained_portions, LeasePhase, Portion, SliceId},
};

use super::{BucketLevels, Grant, PlanSplit, TokenBucket, WorkspaceLevel};

/// The outcome of taking a token from an owned slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeOutcome {
    /// A token was taken; its grant is valid for a limited time.
    Granted(Grant),
    /// The bucket is empty; the next token is due after this time.
    Exceeded(Duration),
    /// This daemon does not own the slice at present.
    NotOwner,
}

#[derive(Debug, Clone)]
struct OwnedSlice {
    portions: Vec<Portion>,
    /// The portions that stay usable after the short term.
    retained: Vec<Portion>,
    since: BootTime,
    /// Time for which new buckets had been refilled before `since`; `None` if they start full.
    refill_time: Option<Duration>,
    buckets: BTreeMap<Rc<str>, TokenBucket>,
    handed_over: BTreeMap<Rc<str>, f64>,
}

/// The slices that a daemon owns, and their token buckets.
#[derive(Debug, Clone, Default)]
pub struct OwnedSlices {
    slices: BTreeMap<SliceId, OwnedSlice>,
}

impl OwnedSlices {
    /// Returns whether a slice is owned.
    pub fn contains(&self, slice: SliceId) -> bool {
        self.slices.contains_key(&slice)
    }

    /// Returns the number of owned slices.
    pub fn len(&self) -> usize {
        self.slices.len()
    }

    /// Returns whether no slice is owned.
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    /// Adds a slice with `portions` and the given bucket levels, or changes the portions of a
    /// slice that is owned already.
    ///
    /// Portions that are added to an owned slice start without tokens.
    pub fn set_portions(
        &mut self,
        slice: SliceId,
        portions: &[Portion],
        levels: BucketLevels,
        now: BootTime,
    ) {
        if let Some(owned) = self.slices.get_mut(&slice) {
            owned.set_portions(portions, now);
            return;
        }
        let handed_over = levels
            .workspaces
            .into_iter()
            .map(|l| (Rc::from(l.workspace.as_str()), l.level))
            .collect();
        let owned = OwnedSlice {
            portions: portions.to_vec(),
            retained: retained_portions(portions),
            since: now,
            refill_time: levels.refill_time,
            buckets: BTreeMap::default(),
            handed_over,
        };
        self.slices.insert(slice, owned);
    }

    /// Removes a slice and returns the levels of its buckets.
    pub fn remove(&mut self, slice: SliceId, now: BootTime) -> BucketLevels {
        match self.slices.remove(&slice) {
            Some(owned) => owned.into_levels(now),
            None => BucketLevels::empty(),
        }
    }

    /// Returns the portions of a slice that may be used in the given phase of the lease.
    pub fn usable_portions(&self, slice: SliceId, phase: LeasePhase) -> &[Portion] {
        self.slices
            .get(&slice)
            .map_or(&[], |owned| owned.usable_portions(phase))
    }

    /// Removes all slices.
    pub fn clear(&mut self) {
        self.slices.clear();
    }

    /// Takes one token of `workspace` from the portions of a slice that may be used in the given
    /// phase of the lease.
    ///
    /// The grant expires by this daemon's clock; another daemon counts the lifetime of its grant
    /// on its own clock, from before it sent its request.
    pub fn take(
        &mut self,
        slice: SliceId,
        workspace: &Rc<str>,
        plan: &Plan,
        phase: LeasePhase,
        now: BootTime,
    ) -> TakeOutcome {
        let Some(owned) = self.slices.get_mut(&slice) else {
            return TakeOutcome::NotOwner;
        };
        owned.take(slice.index, workspace, plan, phase, now)
    }
}

impl OwnedSlice {
    /// Changes the portions; buckets that do not exist yet start empty, because a former owner of
    /// the added portions may have used all of their tokens.
    fn set_portions(&mut self, portions: &[Portion], now: BootTime) {
        if self.portions == portions {
            return;
        }
        self.portions = portions.to_vec();
        self.retained = retained_portions(portions);
        self.since = now;
        self.refill_time = Some(Duration::ZERO);
    }

    fn usable_portions(&self, phase: LeasePhase) -> &[Portion] {
        match phase {
            LeasePhase::Full => &self.portions,
            LeasePhase::Reduced => &self.retained,
            LeasePhase::Lapsed => &[],
        }
    }

    fn into_levels(mut self, now: BootTime) -> BucketLevels {
        let used = self.buckets.iter_mut().map(|(workspace, bucket)| {
            let level = bucket.level(now);
            WorkspaceLevel {
                workspace: workspace.to_string(),
                level,
            }
        });
        let unused = self
            .handed_over
            .iter()
            .map(|(workspace, level)| WorkspaceLevel {
                workspace: workspace.to_string(),
                level: *level,
            });
        BucketLevels {
            workspaces: used.chain(unused).collect(),
            refill_time: self.refill_time.map(|time| time + now.since(self.since)),
        }
    }

    fn take(
        &mut self,
        index: u8,
        workspace: &Rc<str>,
        plan: &Plan,
        phase: LeasePhase,
        now: BootTime,
    ) -> TakeOutcome {
        let split = PlanSplit::new(plan);
        let Some(limits) = split.bucket_limits(index, self.usable_portions(phase)) else {
            return TakeOutcome::NotOwner;
        };
        let bucket = self.buckets.entry(workspace.clone()).or_insert_with(|| {
            let level = match (self.handed_over.remove(workspace), self.refill_time) {
                (Some(level), _) => level,
                (None, Some(time)) => limits.rate_per_s * time.as_secs_f64(),
                (None, None) => limits.burst,
            };
            TokenBucket::new(limits.rate_per_s, limits.burst, level, self.since)
        });
        bucket.set_limits(limits.rate_per_s, limits.burst, now);
        match bucket.take(now) {
            Ok(()) => TakeOutcome::Granted(Grant {
                valid_until: now + split.lifetime(),
                lifetime: split.lifetime(),
            }),
            Err(wait) => TakeOutcome::Exceeded(wait),
        }
    }
}
