//! What is known of one suspect.

use crate::clock::BootTime;

use super::Verdict;

/// Most names of targets that are kept.
const MAX_TARGETS: usize = 4;

/// What is known of one suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Entry {
    targets: Vec<String>,
    /// Whether one of the targets died with a request of this daemon.
    pub(super) seen_here: bool,
    pub(super) verdict: Verdict,
    pub(super) last_death: BootTime,
}

impl Entry {
    pub(super) fn new(now: BootTime) -> Self {
        Self {
            targets: Vec::new(),
            seen_here: false,
            verdict: Verdict::Suspect,
            last_death: now,
        }
    }

    pub(super) fn add(&mut self, target: &str, now: BootTime) {
        self.last_death = now;
        let known = self.targets.iter().any(|t| t == target);
        if !known && self.targets.len() < MAX_TARGETS {
            self.targets.push(target.to_owned());
        }
    }

    pub(super) fn deaths(&self) -> usize {
        self.targets.len()
    }
}
