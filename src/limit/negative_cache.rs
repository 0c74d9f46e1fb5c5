//! A cache of recent failures to get a token from other daemons.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

/// Longest time for which a refusal is cached.
const MAX_REFUSAL_TTL: Duration = Duration::from_secs(1);
/// Time for which no request is sent to a daemon that did not respond.
const UNRESPONSIVE_TTL: Duration = Duration::from_millis(500);
/// Maximum number of cached refusals.
const MAX_REFUSALS: usize = 20_000;

/// A cache of recent refusals and unresponsive daemons.
///
/// It only avoids requests that are expected to fail; admission does not depend on it otherwise.
#[derive(Debug, Default)]
pub struct NegativeCache {
    refusals: FxHashMap<(Rc<str>, u8), BootTime>,
    unresponsive: FxHashMap<Rc<str>, BootTime>,
}

impl NegativeCache {
    /// Records that slice `index` has no token for `workspace` until `wait` has passed.
    pub fn record_refusal(
        &mut self,
        workspace: &Rc<str>,
        index: u8,
        wait: Duration,
        now: BootTime,
    ) {
        if self.refusals.len() >= MAX_REFUSALS {
            self.refusals.retain(|_, until| *until > now);
        }
        if self.refusals.len() < MAX_REFUSALS {
            let until = now + wait.min(MAX_REFUSAL_TTL);
            self.refusals.insert((workspace.clone(), index), until);
        }
    }

    /// Returns the time until slice `index` may have a token; `None` if it may have one now.
    pub fn remaining_wait(
        &self,
        workspace: &Rc<str>,
        index: u8,
        now: BootTime,
    ) -> Option<Duration> {
        let until = self.refusals.get(&(workspace.clone(), index))?;
        Some(until.since(now)).filter(|wait| !wait.is_zero())
    }

    /// Records that `host` did not respond.
    pub fn record_unresponsive(&mut self, host: &str, now: BootTime) {
        self.unresponsive.retain(|_, until| *until > now);
        self.unresponsive
            .insert(Rc::from(host), now + UNRESPONSIVE_TTL);
    }

    /// Returns whether `host` failed to respond recently.
    pub fn is_unresponsive(&self, host: &str, now: BootTime) -> bool {
        self.unresponsive
            .get(host)
            .is_some_and(|until| *until > now)
    }
}
