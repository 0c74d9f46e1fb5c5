//! The time that a shutdown leaves for requests.

use std::cell::Cell;

use crate::clock::BootTime;

use super::ShutdownSignal;

/// The time that a shutdown leaves for requests. A request that could last longer is refused, and
/// one that is still under way at its end gets an error response.
#[derive(Default)]
pub struct ShutdownGrace {
    end: Cell<Option<BootTime>>,
    over: ShutdownSignal,
}

impl ShutdownGrace {
    /// Starts the shutdown, which leaves requests the time until `end`.
    pub fn start(&self, end: BootTime) {
        self.end.set(Some(end));
    }

    /// Returns whether a request with this deadline ends in time.
    pub fn has_time_for(&self, deadline: BootTime) -> bool {
        self.end.get().is_none_or(|end| deadline <= end)
    }

    /// Ends the requests that are still under way.
    pub fn finish(&self) {
        self.over.trigger();
    }

    /// Waits until [`Self::finish`].
    pub async fn wait(&self) {
        self.over.wait().await;
    }
}
