//! The slices that a daemon owns, and the buckets in them.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use crate::{
    catalog::Plan,
    clock::BootTime,
    lease::{retained_portions, LeasePhase, Portion, SliceId},
};

use super::{BucketLevels, Grant, PlanSplit, TokenBucket, WorkspaceLevel};

/// The answer of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeOutcome {
    /// A token was taken; it may be used for a limited time.
    Granted(Grant),
    /// The bucket is empty; a token is due after this time.
    Exceeded(Duration),
    /// This daemon does not own the slice now.
    NotOwner,
}

#[derive(Debug, Clone)]
struct OwnedSlice {
    portions: Vec<Portion>,
    kept: Vec<Portion>,
    since: BootTime,
    /// Time for which buckets gained tokens before `since`; none when they begin full.
    idle: Option<Duration>,
    buckets: BTreeMap<Rc<str>, TokenBucket>,
    handed_over: BTreeMap<Rc<str>, f64>,
}

/// The slices that a daemon owns, and the buckets in them.
#[derive(Debug, Clone, Default)]
pub struct OwnedSlices {
    slices: BTreeMap<SliceId, OwnedSlice>,
}

impl OwnedSlices {
    /// Tells whether a slice is held.
    pub fn contains(&self, slice: SliceId) -> bool {
        self.slices.contains_key(&slice)
    }

    /// Returns how many slices are held.
    pub fn len(&self) -> usize {
        self.slices.len()
    }

    /// Tells whether no slice is held.
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    /// Begins to hold `portions` of a slice with the given levels, or changes them.
    ///
    /// Tokens of portions that are added later begin at none.
    pub fn set_portions(
        &mut self,
        slice: SliceId,
        portions: &[Portion],
        start: BucketLevels,
        now: BootTime,
    ) {
        if let Some(held) = self.slices.get_mut(&slice) {
            held.change(portions, now);
            return;
        }
        let handed_over = start
            .workspaces
            .into_iter()
            .map(|l| (Rc::from(l.workspace.as_str()), l.level))
            .collect();
        let holding = OwnedSlice {
            portions: portions.to_vec(),
            kept: retained_portions(portions),
            since: now,
            idle: start.idle,
            buckets: BTreeMap::default(),
            handed_over,
        };
        self.slices.insert(slice, holding);
    }

    /// Ends a holding and returns the levels of its buckets.
    pub fn remove(&mut self, slice: SliceId, now: BootTime) -> BucketLevels {
        match self.slices.remove(&slice) {
            Some(held) => held.into_levels(now),
            None => BucketLevels::empty(),
        }
    }

    /// Returns the portions of a slice that the lease's phase allows to use.
    pub fn usable_portions(&self, slice: SliceId, phase: LeasePhase) -> &[Portion] {
        self.slices
            .get(&slice)
            .map_or(&[], |h| h.usable_portions(phase))
    }

    /// Ends all holdings.
    pub fn clear(&mut self) {
        self.slices.clear();
    }

    /// Takes one token of `workspace` from a slice, as far as the lease's phase allows.
    ///
    /// The grant's end is on this daemon's clock; another daemon counts the life of its grant
    /// on its own clock, from before it asked.
    pub fn take(
        &mut self,
        slice: SliceId,
        workspace: &Rc<str>,
        plan: &Plan,
        phase: LeasePhase,
        now: BootTime,
    ) -> TakeOutcome {
        let Some(held) = self.slices.get_mut(&slice) else {
            return TakeOutcome::NotOwner;
        };
        held.take(slice.index, workspace, plan, phase, now)
    }
}

impl OwnedSlice {
    /// Changes the portions; buckets that do not exist yet begin empty, since a former owner of
    /// the added portions may have used all of theirs.
    fn change(&mut self, portions: &[Portion], now: BootTime) {
        if self.portions == portions {
            return;
        }
        self.portions = portions.to_vec();
        self.kept = retained_portions(portions);
        self.since = now;
        self.idle = Some(Duration::ZERO);
    }

    fn usable_portions(&self, phase: LeasePhase) -> &[Portion] {
        match phase {
            LeasePhase::Full => &self.portions,
            LeasePhase::Reduced => &self.kept,
            LeasePhase::Lapsed => &[],
        }
    }

    fn into_levels(mut self, now: BootTime) -> BucketLevels {
        let held = self.buckets.iter_mut().map(|(workspace, bucket)| {
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
            workspaces: held.chain(unused).collect(),
            idle: self.idle.map(|idle| idle + now.since(self.since)),
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
        let Some(shape) = split.bucket_limits(index, self.usable_portions(phase)) else {
            return TakeOutcome::NotOwner;
        };
        let bucket = self.buckets.entry(workspace.clone()).or_insert_with(|| {
            let level = match (self.handed_over.remove(workspace), self.idle) {
                (Some(level), _) => level,
                (None, Some(idle)) => shape.rate_per_s * idle.as_secs_f64(),
                (None, None) => shape.burst,
            };
            TokenBucket::new(shape.rate_per_s, shape.burst, level, self.since)
        });
        bucket.set_limits(shape.rate_per_s, shape.burst, now);
        match bucket.take(now) {
            Ok(()) => TakeOutcome::Granted(Grant {
                valid_until: now + split.lifetime(),
                lifetime: split.lifetime(),
            }),
            Err(wait) => TakeOutcome::Exceeded(wait),
        }
    }
}
