//! The count of things in flight, under a bound.

use std::{cell::Cell, rc::Rc};

/// A count of things in flight, under a bound.
#[derive(Clone)]
pub struct BoundedCounter {
    count: Rc<Cell<usize>>,
    max: usize,
}

impl BoundedCounter {
    /// Makes a count of zero with the bound `max`.
    pub fn new(max: usize) -> Self {
        Self {
            count: Rc::new(Cell::new(0)),
            max,
        }
    }

    /// Returns the count.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Adds one; none when the bound is reached.
    pub fn try_acquire(&self) -> Option<BoundedCounterGuard> {
        self.try_acquire_many(1)
    }

    /// Adds `n` at once; none when that exceeds the bound.
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

/// Things in flight; dropping this ends them.
pub struct BoundedCounterGuard {
    count: Rc<Cell<usize>>,
    n: usize,
}

impl Drop for BoundedCounterGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - self.n);
    }
}
