//! Crash record of one request.

use crate::clock::BootTime;

use super::Verdict;

/// Maximum number of target names kept per record.
const MAX_TARGETS: usize = 4;

/// Targets that crashed while processing one request, and the verdict on the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SuspectRecord {
    targets: Vec<String>,
    /// Number of targets that crashed one after another: each time, the request had been sent when
    /// the crash before was known. Targets that crash at the same time count as one, as their crash
    /// may have a cause other than the request, which may be at work on any number of targets.
    consecutive: u32,
    /// When this daemon learned of the crash that was counted last.
    counted_at: BootTime,
    /// Whether one of the targets crashed while processing the request for this daemon.
    pub(super) seen_locally: bool,
    pub(super) verdict: Verdict,
    /// When the request was refused.
    pub(super) refused_at: Option<BootTime>,
    pub(super) last_crash: BootTime,
}

impl SuspectRecord {
    pub(super) fn new(now: BootTime) -> Self {
        Self {
            targets: Vec::new(),
            consecutive: 0,
            counted_at: now,
            seen_locally: false,
            verdict: Verdict::Suspect,
            refused_at: None,
            last_crash: now,
        }
    }

    /// Adds the crash of a target that a request sent at `sent` was at work on.
    pub(super) fn add_crash(&mut self, target: &str, sent: BootTime, now: BootTime) {
        let is_known = self.targets.iter().any(|t| t == target);
        let is_first = self.consecutive == 0;
        if is_first || (!is_known && sent >= self.counted_at) {
            self.count(self.consecutive + 1, now);
        }
        self.add_target(target, now);
    }

    /// Adds the crash of a target after which another daemon counts `consecutive` crashes.
    pub(super) fn add_notice(&mut self, target: &str, consecutive: u32, now: BootTime) {
        if consecutive.max(1) > self.consecutive {
            self.count(consecutive.max(1), now);
        }
        self.add_target(target, now);
    }

    pub(super) fn consecutive(&self) -> u32 {
        self.consecutive
    }

    /// Sets the verdict to refused.
    pub(super) fn refuse(&mut self, now: BootTime) {
        self.verdict = Verdict::Refused;
        self.refused_at.get_or_insert(now);
    }

    fn count(&mut self, consecutive: u32, now: BootTime) {
        self.consecutive = consecutive;
        self.counted_at = now;
    }

    fn add_target(&mut self, target: &str, now: BootTime) {
        self.last_crash = now;
        let is_known = self.targets.iter().any(|t| t == target);
        if !is_known && self.targets.len() < MAX_TARGETS {
            self.targets.push(target.to_owned());
        }
    }
}
