//! Detection of pauses of the process.

use std::{cell::Cell, rc::Rc, time::Duration};

use crate::clock::{BootTime, Clock};

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time without a tick that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Counts pauses of the process, for example by SIGSTOP or a suspended system.
///
/// A pause is a period without ticks. [`PauseDetector::count`] ticks as well, so that code that
/// runs first after a pause already sees it counted.
#[derive(Clone)]
pub struct PauseDetector {
    clock: Rc<dyn Clock>,
    last_tick: Rc<Cell<BootTime>>,
    count: Rc<Cell<u64>>,
}

impl PauseDetector {
    /// Creates a detector that has counted no pause.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let now = clock.now();
        Self {
            clock,
            last_tick: Rc::new(Cell::new(now)),
            count: Rc::default(),
        }
    }

    /// Returns the number of pauses so far.
    pub fn count(&self) -> u64 {
        self.tick();
        self.count.get()
    }

    /// Ticks until the daemon exits.
    pub async fn run(self) {
        loop {
            self.tick();
            monoio::time::sleep(TICK_INTERVAL).await;
        }
    }

    fn tick(&self) {
        let now = self.clock.now();
        if now.since(self.last_tick.get()) >= MIN_PAUSE {
            self.count.set(self.count.get() + 1);
        }
        self.last_tick.set(now);
    }
}
