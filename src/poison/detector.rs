//! Detector of poison requests.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{suspect::SuspectRecord, Fingerprint, PoisonNotice, Verdict};

/// Number of distinct crashed targets after which a request is refused.
const MIN_CRASHED_TARGETS: usize = 2;
/// Time for which a request is refused and a crash is remembered.
const RETENTION: Duration = Duration::from_secs(300);
/// Maximum number of requests that are remembered.
const MAX_RECORDS: usize = 1024;

/// Detects requests that crash targets.
///
/// Only a daemon that observed a crash itself promotes a suspect to refused. A request that
/// happened to be in flight during two restarts of targets, but succeeds elsewhere, is therefore
/// not refused: its responses clear the suspicion at the daemons that forward it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoisonDetector {
    records: FxHashMap<Fingerprint, SuspectRecord>,
}

impl PoisonDetector {
    /// Returns whether there are no suspect or refused requests.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether a request is refused.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: BootTime) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|r| r.verdict == Verdict::Refused && !is_expired(r, now))
    }

    /// Records that `target` crashed while processing a request of this daemon.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        target: &str,
        now: BootTime,
    ) -> Verdict {
        let record = self.record_mut(fingerprint, now);
        record.add_target(target, now);
        record.seen_locally = true;
        update_verdict(record)
    }

    /// Applies a notice from another daemon; returns the verdict if the notice changed it to one
    /// that the sender does not know yet.
    pub fn apply_notice(&mut self, notice: &PoisonNotice, now: BootTime) -> Option<Verdict> {
        let record = self.record_mut(notice.fingerprint, now);
        record.add_target(&notice.target, now);
        if notice.verdict == Verdict::Refused {
            record.verdict = Verdict::Refused;
            return None;
        }
        let before = record.verdict;
        let verdict = update_verdict(record);
        (verdict != before).then_some(verdict)
    }

    /// Records that a target answered a request, which clears a suspicion.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        let record = self.records.get(&fingerprint);
        if record.is_some_and(|r| r.verdict == Verdict::Suspect) {
            self.records.remove(&fingerprint);
        }
    }

    fn record_mut(&mut self, fingerprint: Fingerprint, now: BootTime) -> &mut SuspectRecord {
        self.records.retain(|_, record| !is_expired(record, now));
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint) {
            self.evict();
        }
        let record = self.records.entry(fingerprint);
        record.or_insert_with(|| SuspectRecord::new(now))
    }

    /// Evicts the oldest suspect, or the oldest refused request if there are no suspects.
    fn evict(&mut self) {
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, r)| (r.verdict == Verdict::Refused, r.last_crash))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.records.remove(&fingerprint);
        }
    }
}

fn update_verdict(record: &mut SuspectRecord) -> Verdict {
    if record.seen_locally && record.crashed_targets() >= MIN_CRASHED_TARGETS {
        record.verdict = Verdict::Refused;
    }
    record.verdict
}

fn is_expired(record: &SuspectRecord, now: BootTime) -> bool {
    now.since(record.last_crash) > RETENTION
}
