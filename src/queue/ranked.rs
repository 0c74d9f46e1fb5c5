//! Bounded queue that serves requests by rank, and shares each rank fairly among workspaces.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{
    rank_account::{RankAccount, ServedShare},
    FairQueue, QueueId, QueuedRequest,
};

/// Number of ranks above which those that had no requests lately are forgotten. Ranks are part of
/// the configuration, which changes while a daemon runs.
const MAX_IDLE_RANKS: usize = 64;
/// Longest wait that is estimated.
const MAX_WAIT: Duration = Duration::from_secs(60);

struct Level<T> {
    queue: FairQueue<T>,
    account: RankAccount,
}

/// A bounded queue that serves the most urgent rank first, and a [`FairQueue`] within each rank.
///
/// A rank whose share of served requests falls to little more than a quarter of the share over all
/// ranks is owed requests; more urgent ranks are owed slightly more. What a rank is owed is served
/// before more urgent ranks, and is not shed for them.
pub struct RankedQueue<T> {
    capacity: usize,
    levels: BTreeMap<u32, Level<T>>,
    ranks: FxHashMap<QueueId, u32>,
    share: ServedShare,
    /// Ranks with queued requests.
    waiting: BTreeSet<u32>,
    /// Ranks with queued requests that are owed at least one of them.
    owed: BTreeSet<u32>,
    /// Ranks with more queued requests than they are owed.
    sheddable: BTreeSet<u32>,
}

impl<T> RankedQueue<T> {
    /// Creates an empty queue for `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            levels: BTreeMap::new(),
            ranks: FxHashMap::default(),
            share: ServedShare::default(),
            waiting: BTreeSet::new(),
            owed: BTreeSet::new(),
            sheddable: BTreeSet::new(),
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.ranks.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Records a request that arrived, before it is served, queued or rejected.
    pub fn record_offered(&mut self, rank: u32, now: BootTime) {
        self.share.record_offered(now);
        if !self.levels.contains_key(&rank) {
            self.add_level(rank, now);
        }
        if let Some(level) = self.levels.get_mut(&rank) {
            level.account.record_offered(&self.share, now);
        }
        self.update_sets(rank, now);
    }

    /// Records a request that was served without having been queued.
    pub fn record_served_directly(&mut self, rank: u32, now: BootTime) {
        self.share.record_served(now);
        if let Some(level) = self.levels.get_mut(&rank) {
            level.account.record_served(false, now);
        }
        self.update_sets(rank, now);
    }

    /// Returns the time until a request that arrives now would be served, by the rate at which its
    /// rank was served recently; `None` if that is unknown or no request of its rank waits.
    ///
    /// One request of a rank waits in any case, so that the rate is measured again after all were
    /// rejected.
    pub fn estimate_wait(
        &self,
        rank: u32,
        req: &QueuedRequest<T>,
        now: BootTime,
    ) -> Option<Duration> {
        let level = self.levels.get(&rank).filter(|l| !l.queue.is_empty())?;
        let rate_per_s = level.account.rate_per_s(now)?;
        Some(time_for(level.queue.estimate_ahead(req) + 1, rate_per_s))
    }

    /// Returns the time until the requests of a rank that wait now have been served, by the rate at
    /// which it was served recently; `None` if that is unknown.
    pub fn estimate_drain(&self, rank: u32, now: BootTime) -> Option<Duration> {
        let level = self.levels.get(&rank)?;
        let rate_per_s = level.account.rate_per_s(now)?;
        Some(time_for(level.queue.len() + 1, rate_per_s))
    }

    /// Adds a request, and returns the rank and the request to shed if the queue was full: the last
    /// one of the least urgent rank that has more requests queued than it is owed.
    pub fn push(
        &mut self,
        id: QueueId,
        rank: u32,
        req: QueuedRequest<T>,
        now: BootTime,
    ) -> Option<(u32, QueuedRequest<T>)> {
        if !self.levels.contains_key(&rank) {
            self.add_level(rank, now);
        }
        self.levels.get_mut(&rank)?.queue.insert(id, req);
        self.ranks.insert(id, rank);
        self.update_sets(rank, now);
        if self.len() <= self.capacity {
            return None;
        }
        let least_urgent = self.sheddable.last().or(self.waiting.last());
        let shed = *least_urgent?;
        let (id, req) = self.levels.get_mut(&shed)?.queue.pop_last()?;
        self.forget(id, shed, now);
        Some((shed, req))
    }

    /// Returns the request to serve next.
    pub fn peek(&self) -> Option<&QueuedRequest<T>> {
        self.levels.get(&self.next_rank()?)?.queue.peek()
    }

    /// Removes and returns the request to serve next, with its rank.
    pub fn pop(&mut self, now: BootTime) -> Option<(u32, QueuedRequest<T>)> {
        let rank = self.next_rank()?;
        let level = self.levels.get_mut(&rank)?;
        let (id, req) = level.queue.pop_first()?;
        level.account.record_served(true, now);
        self.share.record_served(now);
        self.forget(id, rank, now);
        Some((rank, req))
    }

    /// Returns whether the request to serve next is served before a more urgent one because its
    /// rank is owed requests.
    pub fn is_next_out_of_turn(&self) -> bool {
        self.next_rank() != self.waiting.first().copied()
    }

    /// Removes a request that is not served.
    pub fn remove(&mut self, id: QueueId, now: BootTime) -> Option<QueuedRequest<T>> {
        let rank = *self.ranks.get(&id)?;
        let req = self.levels.get_mut(&rank)?.queue.remove(id)?;
        self.forget(id, rank, now);
        Some(req)
    }

    /// Removes and returns all requests whose deadline is not after `limit`, with their ranks.
    pub fn take_expired(&mut self, limit: BootTime, now: BootTime) -> Vec<(u32, QueuedRequest<T>)> {
        let mut expired = Vec::new();
        for rank in Vec::from_iter(self.waiting.iter().copied()) {
            while let Some((id, req)) = self
                .levels
                .get_mut(&rank)
                .and_then(|l| l.queue.pop_expired(limit))
            {
                self.forget(id, rank, now);
                expired.push((rank, req));
            }
        }
        expired
    }

    /// Returns the rank to serve next: of the ranks that are owed requests the most urgent one, or
    /// the most urgent one of all.
    fn next_rank(&self) -> Option<u32> {
        let owed = self.owed.first();
        owed.or(self.waiting.first()).copied()
    }

    fn add_level(&mut self, rank: u32, now: BootTime) {
        if self.levels.len() >= MAX_IDLE_RANKS {
            let is_used = |l: &Level<T>| !l.queue.is_empty() || !l.account.is_void(now);
            self.levels.retain(|_, level| is_used(level));
        }
        let level = Level {
            queue: FairQueue::new(usize::MAX),
            account: RankAccount::default(),
        };
        self.levels.insert(rank, level);
        for (less_urgent, level) in self.levels.values_mut().rev().enumerate() {
            level.account.less_urgent = less_urgent;
        }
    }

    fn forget(&mut self, id: QueueId, rank: u32, now: BootTime) {
        self.ranks.remove(&id);
        self.update_sets(rank, now);
    }

    fn update_sets(&mut self, rank: u32, now: BootTime) {
        let Some(level) = self.levels.get_mut(&rank) else {
            return;
        };
        let (len, owed) = (level.queue.len(), level.account.owed());
        level.account.set_waiting(len > 0, now);
        let set = |ranks: &mut BTreeSet<u32>, is_member: bool| {
            if is_member {
                ranks.insert(rank);
            } else {
                ranks.remove(&rank);
            }
        };
        set(&mut self.waiting, len > 0);
        set(&mut self.owed, len > 0 && owed > 0);
        set(&mut self.sheddable, len > owed);
    }
}

/// Returns the time in which `count` requests are served.
fn time_for(count: usize, rate_per_s: f64) -> Duration {
    let s = count as f64 / rate_per_s.max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(s).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
}
