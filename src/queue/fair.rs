//! Bounded queue that serves workspaces in proportion to the rates of their plans.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

/// Lower bound of the weight of a workspace, in 1/s.
const MIN_WEIGHT: f64 = 0.001;

/// A queued request.
#[derive(Debug, Clone)]
pub struct QueuedRequest<T> {
    /// Workspace of the request.
    pub workspace: Rc<str>,
    /// Rate of the workspace's plan, in 1/s; its weight in the queue.
    pub rate_per_s: f64,
    /// Time after which the request expires.
    pub deadline: BootTime,
    /// Payload.
    pub item: T,
}

/// The queue is full; contains the request that must be shed.
#[derive(Debug, Clone)]
pub struct QueueFull<T>(pub QueuedRequest<T>);

struct Entry<T> {
    /// Virtual finish time.
    finish: f64,
    /// Position in arrival order, which breaks ties of `finish`.
    sequence: u64,
    req: QueuedRequest<T>,
}

/// A bounded queue with weighted fair queueing.
///
/// The virtual finish time of a request is one plan interval after that of the workspace's previous
/// request, or after the current virtual time if that is later. The request that finishes first is
/// served first. A full queue sheds the request that finishes last, which belongs to the workspace
/// that exceeds its share the most.
pub struct FairQueue<T> {
    capacity: usize,
    virtual_time: f64,
    next_sequence: u64,
    last_finish: FxHashMap<Rc<str>, f64>,
    entries: Vec<Entry<T>>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            virtual_time: 0.0,
            next_sequence: 0,
            last_finish: FxHashMap::default(),
            entries: Vec::new(),
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
        let last = self.last_finish.get(&req.workspace);
        let start = last.map_or(self.virtual_time, |f| f.max(self.virtual_time));
        let finish = start + 1.0 / req.rate_per_s.max(MIN_WEIGHT);
        self.last_finish.insert(req.workspace.clone(), finish);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.entries.push(Entry {
            finish,
            sequence,
            req,
        });
        if self.entries.len() <= self.capacity {
            return Ok(());
        }
        let last = self.position_by(|a, b| a > b);
        Err(QueueFull(self.remove_unserved(last)))
    }

    /// Returns the request to serve next.
    pub fn peek(&self) -> Option<&QueuedRequest<T>> {
        if self.entries.is_empty() {
            return None;
        }
        Some(&self.entries[self.position_by(|a, b| a < b)].req)
    }

    /// Removes and returns the request to serve next.
    pub fn pop(&mut self) -> Option<QueuedRequest<T>> {
        if self.entries.is_empty() {
            return None;
        }
        let first = self.position_by(|a, b| a < b);
        let entry = self.entries.swap_remove(first);
        self.virtual_time = self.virtual_time.max(entry.finish);
        if self.entries.is_empty() {
            self.last_finish.clear();
        }
        Some(entry.req)
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn take_expired(&mut self, now: BootTime) -> Vec<QueuedRequest<T>> {
        let mut expired = Vec::new();
        let mut i = 0;
        while i < self.entries.len() {
            if self.entries[i].req.deadline <= now {
                expired.push(self.remove_unserved(i));
            } else {
                i += 1;
            }
        }
        expired
    }

    /// Removes a request that is not served, and refunds its share to the workspace.
    fn remove_unserved(&mut self, i: usize) -> QueuedRequest<T> {
        let req = self.entries.swap_remove(i).req;
        if let Some(finish) = self.last_finish.get_mut(&req.workspace) {
            *finish -= 1.0 / req.rate_per_s.max(MIN_WEIGHT);
        }
        req
    }

    fn position_by(&self, before: impl Fn(&(f64, u64), &(f64, u64)) -> bool) -> usize {
        let key = |i: usize| (self.entries[i].finish, self.entries[i].sequence);
        (1..self.entries.len()).fold(
            0,
            |best, i| {
                if before(&key(i), &key(best)) {
                    i
                } else {
                    best
                }
            },
        )
    }
}
