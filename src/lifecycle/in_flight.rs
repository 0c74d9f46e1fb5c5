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
        if self.count.get() >= self.max {
            return None;
        }
        self.count.set(self.count.get() + 1);
        Some(InFlightGuard {
            count: self.count.clone(),
        })
    }
}

/// One thing in flight; dropping it ends it.
pub struct InFlightGuard {
    count: Rc<Cell<usize>>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
