//! A short queue that serves workspaces in proportion to their plans' rates.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

/// Least rate that counts as a weight, 1/s.
const LEAST_WEIGHT: f64 = 0.001;

/// One waiting request.
#[derive(Debug, Clone)]
pub struct QueuedRequest<T> {
    /// Its workspace.
    pub workspace: Rc<str>,
    /// Rate of the workspace's plan, 1/s.
    pub rate_per_s: f64,
    /// When it is no longer worth running.
    pub deadline: BootTime,
    /// What waits.
    pub item: T,
}

/// The queue is full, and the request that comes back is to be shed.
#[derive(Debug, Clone)]
pub struct QueueFull<T>(pub QueuedRequest<T>);

struct Entry<T> {
    finish: f64,
    order: u64,
    waiting: QueuedRequest<T>,
}

/// A bounded queue in the order of weighted fair queueing.
///
/// Each request of a workspace is due one plan interval after the workspace's previous one, in
/// virtual time; the one that is due first goes first. A full queue sheds the request that is due
/// last, which belongs to the workspace that asks most above its share.
pub struct FairQueue<T> {
    capacity: usize,
    virtual_time: f64,
    next_order: u64,
    last_finish: FxHashMap<Rc<str>, f64>,
    entries: Vec<Entry<T>>,
}

impl<T> FairQueue<T> {
    /// Makes an empty queue for `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            virtual_time: 0.0,
            next_order: 0,
            last_finish: FxHashMap::default(),
            entries: Vec::new(),
        }
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the request to shed when the queue is full; it may be another one than `waiting`.
    pub fn push(&mut self, waiting: QueuedRequest<T>) -> Result<(), QueueFull<T>> {
        let last = self.last_finish.get(&waiting.workspace);
        let start = last.map_or(self.virtual_time, |f| f.max(self.virtual_time));
        let finish = start + 1.0 / waiting.rate_per_s.max(LEAST_WEIGHT);
        self.last_finish.insert(waiting.workspace.clone(), finish);
        let order = self.next_order;
        self.next_order += 1;
        self.entries.push(Entry {
            finish,
            order,
            waiting,
        });
        if self.entries.len() <= self.capacity {
            return Ok(());
        }
        let last = self.position(|a, b| a > b);
        Err(QueueFull(self.take_back(last)))
    }

    /// Returns the request that is due first.
    pub fn peek(&self) -> Option<&QueuedRequest<T>> {
        if self.entries.is_empty() {
            return None;
        }
        Some(&self.entries[self.position(|a, b| a < b)].waiting)
    }

    /// Takes the request that is due first.
    pub fn pop(&mut self) -> Option<QueuedRequest<T>> {
        if self.entries.is_empty() {
            return None;
        }
        let first = self.position(|a, b| a < b);
        let entry = self.entries.swap_remove(first);
        self.virtual_time = self.virtual_time.max(entry.finish);
        if self.entries.is_empty() {
            self.last_finish.clear();
        }
        Some(entry.waiting)
    }

    /// Takes all requests whose deadline has passed.
    pub fn take_expired(&mut self, now: BootTime) -> Vec<QueuedRequest<T>> {
        let mut expired = Vec::new();
        let mut i = 0;
        while i < self.entries.len() {
            if self.entries[i].waiting.deadline <= now {
                expired.push(self.take_back(i));
            } else {
                i += 1;
            }
        }
        expired
    }

    /// Takes a request that does not run, and gives its turn back to its workspace.
    fn take_back(&mut self, i: usize) -> QueuedRequest<T> {
        let waiting = self.entries.swap_remove(i).waiting;
        if let Some(finish) = self.last_finish.get_mut(&waiting.workspace) {
            *finish -= 1.0 / waiting.rate_per_s.max(LEAST_WEIGHT);
        }
        waiting
    }

    fn position(&self, before: impl Fn(&(f64, u64), &(f64, u64)) -> bool) -> usize {
        let key = |i: usize| (self.entries[i].finish, self.entries[i].order);
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
