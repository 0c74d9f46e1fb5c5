//! The calls by which a daemon joins the fleet, without sockets and clocks.
//!
//! Answers the start of a whole fleet at once, with a store that performs the writes to one part
//! of a table one after another: no row is written by all daemons, and calls that fail are repeated
//! at growing, random intervals.

use std::time::Duration;

/// Longest wait before the first call when the whole fleet starts for the first time, so that one
/// daemon creates the secret and the others find it.
const FIRST_START_SPREAD: Duration = Duration::from_millis(400);
/// Longest wait before the first call of any other start.
const RESTART_SPREAD: Duration = Duration::from_millis(100);
/// Time from the registration to the read of the other members when the fleet starts for the first
/// time; it covers [`FIRST_START_SPREAD`] and the store's queue of registrations.
const SETTLE_TIME: Duration = Duration::from_millis(900);
/// Longest wait after the first failed call; doubled with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest wait after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(3200);

/// What a daemon does next to join the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinStep {
    /// Waits.
    Wait(Duration),
    /// Reads the fleet's secret.
    ReadSecret,
    /// Writes a new secret unless there is one.
    CreateSecret,
    /// Reads the members of its data centre.
    ReadMembers,
    /// Writes its own row.
    Register,
    /// Has joined.
    Joined,
}

/// The result of a [`JoinStep`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinEvent {
    /// The wait is over.
    Waited,
    /// The secret was read or written; false if there is none.
    Secret(bool),
    /// The members were read; true if the own row is among them as it should be.
    Members(bool),
    /// The own row was written.
    Registered,
    /// The call failed, and may have been performed.
    Failed,
}

/// Decides on the calls by which one daemon joins the fleet.
#[derive(Debug)]
pub struct JoinPlan {
    first_start: bool,
    rng: fastrand::Rng,
    step: JoinStep,
    after_wait: JoinStep,
    failures: u32,
}

impl JoinPlan {
    /// Creates the plan of a daemon; `first_start` is true when the whole fleet starts for the
    /// first time.
    pub fn new(first_start: bool, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let spread = if first_start {
            FIRST_START_SPREAD
        } else {
            RESTART_SPREAD
        };
        Self {
            first_start,
            step: JoinStep::Wait(spread.mul_f64(rng.f64())),
            rng,
            after_wait: JoinStep::ReadSecret,
            failures: 0,
        }
    }

    /// Returns what to do next.
    pub fn step(&self) -> JoinStep {
        self.step
    }

    /// Applies the result of the current step.
    pub fn apply(&mut self, event: JoinEvent) {
        self.step = match event {
            JoinEvent::Waited => self.after_wait,
            JoinEvent::Secret(false) => JoinStep::CreateSecret,
            JoinEvent::Secret(true) if self.first_start => JoinStep::Register,
            JoinEvent::Secret(true) => JoinStep::ReadMembers,
            JoinEvent::Registered => self.on_registered(),
            JoinEvent::Members(true) => JoinStep::Joined,
            JoinEvent::Members(false) => JoinStep::Register,
            JoinEvent::Failed => self.on_failure(),
        };
    }

    fn on_registered(&mut self) -> JoinStep {
        if !self.first_start {
            return JoinStep::Joined;
        }
        self.wait(SETTLE_TIME, JoinStep::ReadMembers)
    }

    /// A write without an answer may have been performed, so that a read comes before the next one.
    fn on_failure(&mut self) -> JoinStep {
        let next = match self.step {
            JoinStep::CreateSecret => JoinStep::ReadSecret,
            JoinStep::Register => JoinStep::ReadMembers,
            step => step,
        };
        let longest = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        let longest = longest.min(MAX_BACKOFF);
        let pause = longest.mul_f64(0.25 + 0.75 * self.rng.f64());
        self.wait(pause, next)
    }

    fn wait(&mut self, time: Duration, next: JoinStep) -> JoinStep {
        self.after_wait = next;
        JoinStep::Wait(time)
    }
}
