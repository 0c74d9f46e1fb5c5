//! Crash record of one request.

use crate::clock::BootTime;

use super::Verdict;

/// Maximum number of target names kept per record.
const MAX_TARGETS: usize = 4;

/// Targets that crashed while processing one request, and the verdict on the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SuspectRecord {
    targets: Vec<String>,
    /// Whether one of the targets crashed while processing the request for this daemon.
    pub(super) seen_locally: bool,
    pub(super) verdict: Verdict,
    pub(super) last_crash: BootTime,
}

impl SuspectRecord {
    pub(super) fn new(now: BootTime) -> Self {
        Self {
            targets: Vec::new(),
            seen_locally: false,
            verdict: Verdict::Suspect,
            last_crash: now,
        }
    }

    pub(super) fn add_target(&mut self, target: &str, now: BootTime) {
        self.last_crash = now;
        let known = self.targets.iter().any(|t| t == target);
        if !known && self.targets.len() < MAX_TARGETS {
            self.targets.push(target.to_owned());
        }
    }

    pub(super) fn crashed_targets(&self) -> usize {
        self.targets.len()
    }
}
