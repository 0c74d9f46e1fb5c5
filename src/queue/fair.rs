//! Bounded queue that serves workspaces in proportion to the rates of their plans.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

/// Lower bound of the weight of a workspace with a rate, in 1/s.
const MIN_WEIGHT: f64 = 0.001;
/// Weight of a workspace without a rate until one with a rate was queued, in 1/s.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Identity of a queued request, which increases in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueId(pub u64);

/// A queued request.
#[derive(Debug, Clone)]
pub struct QueuedRequest<T> {
    /// Workspace of the request.
    pub workspace: Rc<str>,
    /// Rate of the workspace's plan, in 1/s; its weight in the queue. Zero if it has none.
    pub rate_per_s: f64,
    /// Time after which the request expires.
    pub deadline: BootTime,
    /// Whether a client sent the request again without waiting for as long as it was told to.
    pub resent_early: bool,
    /// Payload.
    pub item: T,
}

/// The queue is full; contains the request that must be shed.
#[derive(Debug, Clone)]
pub struct QueueFull<T>(pub QueuedRequest<T>);

/// Position in the order of service.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Position {
    resent_early: bool,
    /// Virtual finish time.
    finish: f64,
    deadline: BootTime,
    id: QueueId,
}

impl Eq for Position {}

impl Ord for Position {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_retry = self.resent_early.cmp(&other.resent_early);
        by_retry
            .then(self.finish.total_cmp(&other.finish))
            .then(self.deadline.cmp(&other.deadline))
            .then(self.id.cmp(&other.id))
    }
}

impl PartialOrd for Position {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

struct Entry<T> {
    /// Inverse of the weight that the request was queued with.
    interval: f64,
    req: QueuedRequest<T>,
}

/// Queued requests of one workspace.
struct Backlog {
    /// Virtual finish time of the latest request.
    last_finish: f64,
    /// Weight, in 1/s; `None` if the workspace has no rate.
    weight: Option<f64>,
    queued: usize,
}

/// A bounded queue with weighted fair queueing.
///
/// The virtual finish time of a request is one plan interval after that of the workspace's previous
/// request, or after the current virtual time if that is later. The request that finishes first is
/// served first; of requests that finish together, the one with the earlier deadline. A full queue
/// sheds the request that finishes last, which belongs to the workspace that exceeds its share the
/// most. Requests that clients sent again too early come after all others.
///
/// A workspace without a rate has the mean weight of the queued workspaces that have one, or the
/// latest such mean.
///
/// Each operation costs the logarithm of the length.
pub struct FairQueue<T> {
    capacity: usize,
    virtual_time: f64,
    next_id: u64,
    backlogs: FxHashMap<Rc<str>, Backlog>,
    /// Sum of the weights of the queued workspaces that have a rate, and their number.
    rated: (f64, usize),
    mean_weight: Option<f64>,
    entries: BTreeMap<Position, Entry<T>>,
    positions: FxHashMap<QueueId, Position>,
    deadlines: BTreeSet<(BootTime, QueueId)>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            virtual_time: 0.0,
            next_id: 0,
            backlogs: FxHashMap::default(),
            rated: (0.0, 0),
            mean_weight: None,
            entries: BTreeMap::new(),
            positions: FxHashMap::default(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the request to shed if the queue is full, which may be another one than `req`.
    pub fn push(&mut self, req: QueuedRequest<T>) -> Result<(), QueueFull<T>> {
        let id = QueueId(self.next_id);
        self.next_id += 1;
        self.insert(id, req);
        if self.len() <= self.capacity {
            return Ok(());
        }
        self.pop_last().map_or(Ok(()), |(_, r)| Err(QueueFull(r)))
    }

    /// Adds a request whatever the length of the queue. The identity must be unused.
    pub fn insert(&mut self, id: QueueId, req: QueuedRequest<T>) {
        let weight = (req.rate_per_s > 0.0).then_some(req.rate_per_s.max(MIN_WEIGHT));
        if let (Some(weight), None) = (weight, self.mean_weight) {
            self.scale_to(weight);
        }
        let (finish, interval) = self.finish_time(&req);
        let backlog = self.backlogs.entry(req.workspace.clone());
        let backlog = backlog.or_insert(Backlog {
            last_finish: finish,
            weight,
            queued: 0,
        });
        backlog.last_finish = finish;
        backlog.queued += 1;
        if backlog.queued == 1 {
            self.rated.0 += weight.unwrap_or_default();
            self.rated.1 += usize::from(weight.is_some());
            self.update_mean();
        }
        let position = Position {
            resent_early: req.resent_early,
            finish,
            deadline: req.deadline,
            id,
        };
        self.deadlines.insert((req.deadline, id));
        self.positions.insert(id, position);
        self.entries.insert(position, Entry { interval, req });
    }

    /// Returns the estimated number of requests that would be served before `req`.
    ///
    /// Until the finish time of `req`, each queued workspace is served in proportion to its weight,
    /// or until it has no more requests. The backlog of its own workspace counts as well: after
    /// refunds for expired requests, several requests of a workspace share one finish time.
    pub fn estimate_ahead(&self, req: &QueuedRequest<T>) -> usize {
        if req.resent_early {
            return self.len();
        }
        let others = self.backlogs.len() - self.rated.1;
        let weights = self.rated.0 + others as f64 * self.default_weight();
        let (finish, interval) = self.finish_time(req);
        let own = self.backlogs.get(&req.workspace).map_or(0, |b| b.queued);
        let ahead = (finish - self.virtual_time).max(own as f64 * interval) * weights;
        (ahead as usize).min(self.len())
    }

    /// Returns the request to serve next.
    pub fn peek(&self) -> Option<&QueuedRequest<T>> {
        self.entries.first_key_value().map(|(_, e)| &e.req)
    }

    /// Removes and returns the request to serve next.
    pub fn pop(&mut self) -> Option<QueuedRequest<T>> {
        self.pop_first().map(|(_, req)| req)
    }

    /// Removes and returns the request to serve next, with its identity.
    pub fn pop_first(&mut self) -> Option<(QueueId, QueuedRequest<T>)> {
        let (position, entry) = self.entries.pop_first()?;
        self.virtual_time = self.virtual_time.max(position.finish);
        self.forget(&position, &entry.req.workspace, 0.0);
        Some((position.id, entry.req))
    }

    /// Removes and returns the request that would be served last.
    pub fn pop_last(&mut self) -> Option<(QueueId, QueuedRequest<T>)> {
        let id = self.entries.last_key_value()?.0.id;
        Some((id, self.remove(id)?))
    }

    /// Removes a request that is not served, and refunds its share to the workspace.
    pub fn remove(&mut self, id: QueueId) -> Option<QueuedRequest<T>> {
        let position = *self.positions.get(&id)?;
        let entry = self.entries.remove(&position)?;
        self.forget(&position, &entry.req.workspace, entry.interval);
        Some(entry.req)
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn take_expired(&mut self, now: BootTime) -> Vec<QueuedRequest<T>> {
        let mut expired = Vec::new();
        while let Some((_, req)) = self.pop_expired(now) {
            expired.push(req);
        }
        expired
    }

    /// Removes and returns the request with the earliest deadline if that has passed.
    pub fn pop_expired(&mut self, now: BootTime) -> Option<(QueueId, QueuedRequest<T>)> {
        let (deadline, id) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        Some((id, self.remove(id)?))
    }

    /// Returns the virtual finish time of a request that arrives now, and its interval.
    fn finish_time(&self, req: &QueuedRequest<T>) -> (f64, f64) {
        let weight = if req.rate_per_s > 0.0 {
            req.rate_per_s.max(MIN_WEIGHT)
        } else {
            self.default_weight()
        };
        let last = self.backlogs.get(&req.workspace).map(|b| b.last_finish);
        let start = last.map_or(self.virtual_time, |f| f.max(self.virtual_time));
        (start + 1.0 / weight, 1.0 / weight)
    }

    /// Returns the weight of a workspace without a rate.
    fn default_weight(&self) -> f64 {
        self.mean_weight.unwrap_or(DEFAULT_WEIGHT)
    }

    fn update_mean(&mut self) {
        let (sum, count) = self.rated;
        if count > 0 {
            self.mean_weight = Some((sum / count as f64).max(MIN_WEIGHT));
        }
    }

    /// Forgets the position of a request that was removed, and refunds `refund` to the workspace.
    fn forget(&mut self, position: &Position, workspace: &Rc<str>, refund: f64) {
        self.positions.remove(&position.id);
        self.deadlines.remove(&(position.deadline, position.id));
        let Some(backlog) = self.backlogs.get_mut(workspace) else {
            return;
        };
        backlog.last_finish -= refund;
        backlog.queued -= 1;
        if backlog.queued > 0 {
            return;
        }
        // The finish times of what was served do not exceed the virtual time, and what was not
        // served was refunded, so that the workspace would start at the virtual time anyway.
        let weight = backlog.weight;
        self.backlogs.remove(workspace);
        if let Some(weight) = weight {
            self.rated.1 -= 1;
            // Starts again from zero when it can, so that rounding errors do not add up.
            self.rated.0 = if self.rated.1 > 0 {
                self.rated.0 - weight
            } else {
                0.0
            };
            self.update_mean();
        }
    }

    /// Scales all virtual times from [`DEFAULT_WEIGHT`] to `weight`. Without this, requests queued
    /// before any workspace with a rate would wait for up to `weight` requests of the first one.
    fn scale_to(&mut self, weight: f64) {
        let factor = DEFAULT_WEIGHT / weight;
        self.virtual_time *= factor;
        for backlog in self.backlogs.values_mut() {
            backlog.last_finish *= factor;
        }
        let entries = std::mem::take(&mut self.entries);
        for (mut position, mut entry) in entries {
            position.finish *= factor;
            entry.interval *= factor;
            self.positions.insert(position.id, position);
            self.entries.insert(position, entry);
        }
    }
}
