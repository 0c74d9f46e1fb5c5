//! The decision which requests are refused.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{suspect::SuspectRecord, Fingerprint, PoisonNotice, Verdict};

/// Deaths of different targets after which a request is refused.
const MIN_CRASHED_TARGETS: usize = 2;
/// Time for which a request is refused, and for which a death is remembered.
const RETENTION: Duration = Duration::from_secs(300);
/// Most requests that are remembered.
const MAX_ENTRIES: usize = 1024;

/// Knows the requests that crash targets.
///
/// Only a daemon that lost a target itself turns suspicion into refusal. A request that runs
/// well elsewhere and met two restarts of targets is therefore not refused: its answers clear
/// the suspicion where it runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoisonDetector {
    entries: FxHashMap<Fingerprint, SuspectRecord>,
}

impl PoisonDetector {
    /// Tells whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tells whether a request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: BootTime) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|e| e.verdict == Verdict::Refused && !is_expired(e, now))
    }

    /// Takes note that `target` died while it had a request of this daemon.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        target: &str,
        now: BootTime,
    ) -> Verdict {
        let entry = self.entry(fingerprint, now);
        entry.add_target(target, now);
        entry.seen_locally = true;
        update_verdict(entry)
    }

    /// Takes note of what another daemon tells; returns the verdict when it is new to that
    /// daemon.
    pub fn apply_notice(&mut self, notice: &PoisonNotice, now: BootTime) -> Option<Verdict> {
        let entry = self.entry(notice.fingerprint, now);
        entry.add_target(&notice.target, now);
        if notice.verdict == Verdict::Refused {
            entry.verdict = Verdict::Refused;
            return None;
        }
        let before = entry.verdict;
        let verdict = update_verdict(entry);
        (verdict != before).then_some(verdict)
    }

    /// Takes note that a target answered a request, which clears a suspicion.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        let entry = self.entries.get(&fingerprint);
        if entry.is_some_and(|e| e.verdict == Verdict::Suspect) {
            self.entries.remove(&fingerprint);
        }
    }

    fn entry(&mut self, fingerprint: Fingerprint, now: BootTime) -> &mut SuspectRecord {
        self.entries.retain(|_, entry| !is_expired(entry, now));
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            self.evict();
        }
        let entry = self.entries.entry(fingerprint);
        entry.or_insert_with(|| SuspectRecord::new(now))
    }

    /// Forgets the oldest suspect, or the oldest refusal when all are refused.
    fn evict(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, e)| (e.verdict == Verdict::Refused, e.last_crash))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.entries.remove(&fingerprint);
        }
    }
}

fn update_verdict(entry: &mut SuspectRecord) -> Verdict {
    if entry.seen_locally && entry.crashed_targets() >= MIN_CRASHED_TARGETS {
        entry.verdict = Verdict::Refused;
    }
    entry.verdict
}

fn is_expired(entry: &SuspectRecord, now: BootTime) -> bool {
    now.since(entry.last_crash) > RETENTION
}
