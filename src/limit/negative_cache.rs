//! What the asks of the last moments told.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

/// Longest time for which a refusal is remembered.
const MAX_REFUSAL: Duration = Duration::from_secs(1);
/// Time for which a daemon that did not answer is not asked.
const SILENT_PAUSE: Duration = Duration::from_millis(500);
/// Most refusals that are remembered.
const MAX_REFUSALS: usize = 20_000;

/// What the asks of the last moments told; it only ever saves asks that would fail.
#[derive(Debug, Default)]
pub struct NegativeCache {
    refusals: FxHashMap<(Rc<str>, u8), BootTime>,
    silent: FxHashMap<Rc<str>, BootTime>,
}

impl NegativeCache {
    /// Remembers that slice `index` has no token of `workspace` for `wait`.
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
            let until = now + wait.min(MAX_REFUSAL);
            self.refusals.insert((workspace.clone(), index), until);
        }
    }

    /// Returns the time until slice `index` may have a token; none when it may have one now.
    pub fn remaining_wait(
        &self,
        workspace: &Rc<str>,
        index: u8,
        now: BootTime,
    ) -> Option<Duration> {
        let until = self.refusals.get(&(workspace.clone(), index))?;
        Some(until.since(now)).filter(|wait| !wait.is_zero())
    }

    /// Remembers that `host` did not answer.
    pub fn record_unresponsive(&mut self, host: &str, now: BootTime) {
        self.silent.retain(|_, until| *until > now);
        self.silent.insert(Rc::from(host), now + SILENT_PAUSE);
    }

    /// Tells whether `host` did not answer moments ago.
    pub fn is_unresponsive(&self, host: &str, now: BootTime) -> bool {
        self.silent.get(host).is_some_and(|until| *until > now)
    }
}
