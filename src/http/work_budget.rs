//! Limit on the work that a task does before it lets the other tasks run.

use std::{
    future::{poll_fn, Future},
    pin::pin,
    time::Duration,
};

use monoio::time::sleep;

/// Work that a task may do without waiting, in bytes of input.
const MAX_BYTES: usize = 64 * 1024;
/// Pause after that work. The runtime serves sockets and timers only once no task is ready, so that
/// giving way without a pause would not be enough.
const PAUSE: Duration = Duration::from_millis(1);

/// The work that a task has done since it last waited.
///
/// A socket that always has bytes to read never makes its task wait, so that one peer that sends
/// without pause could hold the whole daemon.
#[derive(Debug, Default)]
pub struct WorkBudget {
    bytes: usize,
}

impl WorkBudget {
    /// Adds work that is worth `bytes` of input, and pauses if the budget is used up.
    pub async fn charge(&mut self, bytes: usize) {
        self.bytes += bytes;
        if self.bytes >= MAX_BYTES {
            self.bytes = 0;
            sleep(PAUSE).await;
        }
    }

    /// Awaits `work`, and renews the budget if it had to wait.
    pub async fn run<T>(&mut self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        poll_fn(|cx| {
            let res = work.as_mut().poll(cx);
            if res.is_pending() {
                self.bytes = 0;
            }
            res
        })
        .await
    }
}
