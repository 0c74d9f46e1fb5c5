//! The count of things in flight, under a bound.

use std::{cell::Cell, rc::Rc};

/// A count of things in flight, under a bound.
#[derive(Clone)]
pub struct InFlight {
    count: Rc<Cell<usize>>,
    max: usize,
}

impl InFlight {
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
    pub fn enter(&self) -> Option<InFlightGuard> {
        self.reserve(1)
    }

    /// Adds `n` at once; none when that exceeds the bound.
    pub fn reserve(&self, n: usize) -> Option<InFlightGuard> {
        let sum = self.count.get().checked_add(n)?;
        if sum > self.max {
            return None;
        }
        self.count.set(sum);
        Some(InFlightGuard {
            count: self.count.clone(),
            n,
        })
    }
}

/// Things in flight; dropping this ends them.
pub struct InFlightGuard {
    count: Rc<Cell<usize>>,
    n: usize,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - self.n);
    }
}
