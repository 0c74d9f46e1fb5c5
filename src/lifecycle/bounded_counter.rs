//! Counter with an upper bound.

use std::{cell::Cell, rc::Rc};

/// Counter with an upper bound, for example of requests in flight; clones share one count.
#[derive(Clone)]
pub struct BoundedCounter {
    count: Rc<Cell<usize>>,
    max: usize,
}

impl BoundedCounter {
    /// Creates a counter at zero with the upper bound `max`.
    pub fn new(max: usize) -> Self {
        Self {
            count: Rc::new(Cell::new(0)),
            max,
        }
    }

    /// Returns the current count.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Adds one until the guard is dropped; `None` if the bound is reached.
    pub fn try_acquire(&self) -> Option<BoundedCounterGuard> {
        self.try_acquire_many(1)
    }

    /// Adds `n` until the guard is dropped; `None` if that exceeds the bound.
    pub fn try_acquire_many(&self, n: usize) -> Option<BoundedCounterGuard> {
        let sum = self.count.get().checked_add(n)?;
        if sum > self.max {
            return None;
        }
        self.count.set(sum);
        Some(BoundedCounterGuard {
            count: self.count.clone(),
            n,
        })
    }
}

/// Share of a [`BoundedCounter`] that is subtracted again on drop.
pub struct BoundedCounterGuard {
    count: Rc<Cell<usize>>,
    n: usize,
}

impl Drop for BoundedCounterGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - self.n);
    }
}
