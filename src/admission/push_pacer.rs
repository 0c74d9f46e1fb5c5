//! Decides when a reader sends levels to its daemons without waiting for their polls.

use std::time::Duration;

use crate::clock::BootTime;

use super::{AdmissionLevel, LevelMessage};

/// Pushes that may follow each other: the first one when a service becomes full, whose responses
/// are the newest loads of all daemons, and one with the level that follows from these.
const MAX_TOKENS: f64 = 2.0;
/// Pushes per second. Each is a message and a response of every daemon, which stays below the limit
/// of two messages a second.
const TOKENS_PER_S: f64 = 0.6;
/// Shortest time between two pushes.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Change of the share of the marginal rank that is worth a push.
const MIN_CHANGE: f64 = 0.2;

/// Decides when a reader pushes levels. Without pushes a level reaches the last daemons only two
/// poll intervals after the load rose.
#[derive(Debug)]
pub struct PushPacer {
    pushed: LevelMessage,
    pushed_at: BootTime,
    tokens: f64,
    refilled_at: BootTime,
}

impl Default for PushPacer {
    fn default() -> Self {
        Self {
            pushed: LevelMessage::default(),
            pushed_at: BootTime::default(),
            tokens: MAX_TOKENS,
            refilled_at: BootTime::default(),
        }
    }
}

impl PushPacer {
    /// Returns whether to push `levels` now, and if so, takes them as pushed.
    pub fn should_push(&mut self, levels: &LevelMessage, now: BootTime) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * TOKENS_PER_S;
        self.tokens = (self.tokens + refill).min(MAX_TOKENS);
        self.refilled_at = now;
        let is_allowed = self.tokens >= 1.0 && now.since(self.pushed_at) >= MIN_INTERVAL;
        if !is_allowed || !differs(&self.pushed, levels) {
            return false;
        }
        self.tokens -= 1.0;
        self.pushed_at = now;
        self.pushed.clone_from(levels);
        true
    }
}

/// Returns whether the levels of a service differ by more than [`MIN_CHANGE`].
fn differs(old: &LevelMessage, new: &LevelMessage) -> bool {
    if old.levels.len() != new.levels.len() {
        return true;
    }
    let has_changed = |a: &AdmissionLevel, b: &AdmissionLevel| {
        let change = (a.marginal_share - b.marginal_share).abs();
        a.marginal_rank != b.marginal_rank || change > MIN_CHANGE
    };
    new.levels.iter().any(|level| {
        let found = old.levels.iter().find(|l| l.service == level.service);
        found.is_none_or(|found| has_changed(&found.level, &level.level))
    })
}
