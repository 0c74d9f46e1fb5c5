//! Crash record of one request.

use std::time::Duration;

use crate::clock::BootTime;

use super::Verdict;

/// Maximum number of target names kept per record.
const MAX_TARGETS: usize = 4;
/// Number of targets that crashed one after another after which a request is held back.
const MIN_HELD_BACK: u32 = 2;
/// Number of crashes in a row, including those in tests, after which a request is refused.
const MIN_REFUSED: u32 = 3;
/// Time between tests of a request that is held back; also the longest time that most requests
/// take, so that answers to earlier ones may still clear it before the first test.
const TEST_INTERVAL: Duration = Duration::from_secs(3);

/// Targets that crashed while processing one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SuspectRecord {
    targets: Vec<String>,
    /// Number of targets that crashed one after another: each time, the request had been sent when
    /// the crash before was known. Targets that crash at the same time count as one, as their crash
    /// may have a cause other than the request, which may be at work on any number of targets.
    consecutive: u32,
    /// When this daemon learned of the crash that was counted last.
    counted_at: BootTime,
    /// When the request may be sent as a test if it is held back.
    next_test_at: BootTime,
    /// Whether one of the targets crashed while processing the request for this daemon.
    pub(super) seen_locally: bool,
    pub(super) last_crash: BootTime,
}

impl SuspectRecord {
    pub(super) fn new(now: BootTime) -> Self {
        Self {
            targets: Vec::new(),
            consecutive: 0,
            counted_at: now,
            next_test_at: now,
            seen_locally: false,
            last_crash: now,
        }
    }

    /// Returns the verdict on the request.
    pub(super) fn verdict(&self) -> Verdict {
        match self.consecutive {
            MIN_REFUSED.. => Verdict::Refused,
            MIN_HELD_BACK.. => Verdict::HeldBack,
            _ => Verdict::Suspect,
        }
    }

    /// Adds the crash of a target that a request sent at `sent` was at work on.
    pub(super) fn add_crash(&mut self, target: &str, sent: BootTime, now: BootTime) {
        let is_known = self.targets.iter().any(|t| t == target);
        // A target that crashes again and again is no evidence against the first request that it
        // meets, but a test may meet only targets that it has met before.
        let is_evidence = !is_known || self.verdict() == Verdict::HeldBack;
        let is_first = self.consecutive == 0;
        if is_first || (is_evidence && sent >= self.counted_at) {
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

    /// Returns the time until the request may be sent as a test; zero if it may now.
    pub(super) fn time_to_test(&self, now: BootTime) -> Duration {
        self.next_test_at.since(now)
    }

    /// Records that the request is sent as a test, by this daemon or another one.
    pub(super) fn record_test(&mut self, now: BootTime) {
        self.next_test_at = now + TEST_INTERVAL;
    }

    fn count(&mut self, consecutive: u32, now: BootTime) {
        self.consecutive = consecutive;
        self.counted_at = now;
        self.next_test_at = now + TEST_INTERVAL;
    }

    fn add_target(&mut self, target: &str, now: BootTime) {
        self.last_crash = now;
        let is_known = self.targets.iter().any(|t| t == target);
        if !is_known && self.targets.len() < MAX_TARGETS {
            self.targets.push(target.to_owned());
        }
    }
}
