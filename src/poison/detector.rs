//! Detector of poison requests.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{suspect::SuspectRecord, Fingerprint, PoisonNotice, Verdict};

/// Number of distinct targets that crashed one after another after which a request is refused.
const MIN_CONSECUTIVE: u32 = 2;
/// Time for which a request is refused and a crash is remembered.
const RETENTION: Duration = Duration::from_secs(300);
/// Time within which an answer to a request that was sent before the refusal may end the refusal;
/// the longest time that most requests take.
const CONFIRMATION_TIME: Duration = Duration::from_secs(3);
/// Maximum number of requests that are remembered.
const MAX_RECORDS: usize = 1024;

/// How a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Answers to earlier requests may still clear the request.
    Provisional,
    /// No answer has cleared the request.
    Confirmed,
}

/// Detects requests that crash targets.
///
/// A request that is at work on many targets is at work on some of those that crash for another
/// reason, too. It is therefore refused only if it was sent to the second target after the crash of
/// the first one was known, and an answer to it, even to one sent before, clears it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoisonDetector {
    records: FxHashMap<Fingerprint, SuspectRecord>,
}

impl PoisonDetector {
    /// Returns whether there are no suspect or refused requests.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns how a request is refused; `None` if it is not.
    pub fn refusal(&self, fingerprint: Fingerprint, now: BootTime) -> Option<Refusal> {
        let record = self.records.get(&fingerprint)?;
        let refused_at = record.refused_at.filter(|_| !is_expired(record, now))?;
        Some(if now.since(refused_at) < CONFIRMATION_TIME {
            Refusal::Provisional
        } else {
            Refusal::Confirmed
        })
    }

    /// Records that `target` crashed while processing a request that this daemon had sent at `sent`.
    /// Returns the notice for the other daemons.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        target: &str,
        sent: BootTime,
        now: BootTime,
    ) -> PoisonNotice {
        let record = self.record_mut(fingerprint, now);
        record.add_crash(target, sent, now);
        record.seen_locally = true;
        if record.consecutive() >= MIN_CONSECUTIVE {
            record.refuse(now);
        }
        PoisonNotice {
            fingerprint,
            target: target.to_owned(),
            verdict: record.verdict,
            relay: false,
            consecutive: record.consecutive(),
        }
    }

    /// Applies a notice from another daemon.
    pub fn apply_notice(&mut self, notice: &PoisonNotice, now: BootTime) {
        if notice.verdict == Verdict::Cleared {
            self.records.remove(&notice.fingerprint);
            return;
        }
        let record = self.record_mut(notice.fingerprint, now);
        record.add_notice(&notice.target, notice.consecutive, now);
        if notice.verdict == Verdict::Refused {
            record.refuse(now);
        }
    }

    /// Records that a target answered a request, which clears it. Returns the notice for the other
    /// daemons, if they refuse the request or have a suspicion that this daemon told them of.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) -> Option<PoisonNotice> {
        let record = self.records.remove(&fingerprint)?;
        let is_shared = record.seen_locally || record.verdict == Verdict::Refused;
        is_shared.then(|| PoisonNotice {
            fingerprint,
            target: String::new(),
            verdict: Verdict::Cleared,
            relay: false,
            consecutive: 0,
        })
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

fn is_expired(record: &SuspectRecord, now: BootTime) -> bool {
    now.since(record.last_crash) > RETENTION
}
