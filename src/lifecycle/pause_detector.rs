//! Noticing that the process was paused.

use std::{cell::Cell, rc::Rc, time::Duration};

use crate::clock::{BootTime, Clock};

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a tick that counts as a pause.
const PAUSE: Duration = Duration::from_secs(1);

/// Counts pauses of the process, such as a suspended machine or a stopped process.
///
/// A pause is a time without ticks. Whoever asks first behind a pause counts it, so that no code
/// runs behind one without noticing.
#[derive(Clone)]
pub struct PauseDetector {
    clock: Rc<dyn Clock>,
    last_tick: Rc<Cell<BootTime>>,
    count: Rc<Cell<u64>>,
}

impl PauseDetector {
    /// Makes a watch that counted no pause yet.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let now = clock.now();
        Self {
            clock,
            last_tick: Rc::new(Cell::new(now)),
            count: Rc::default(),
        }
    }

    /// Returns how many pauses there were.
    pub fn count(&self) -> u64 {
        self.tick();
        self.count.get()
    }

    /// Ticks until the daemon ends.
    pub async fn run(self) {
        loop {
            self.tick();
            monoio::time::sleep(TICK_INTERVAL).await;
        }
    }

    fn tick(&self) {
        let now = self.clock.now();
        if now.since(self.last_tick.get()) >= PAUSE {
            self.count.set(self.count.get() + 1);
        }
        self.last_tick.set(now);
    }
}
