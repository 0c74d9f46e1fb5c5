//! Detector of poison requests.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{suspect::SuspectRecord, Fingerprint, PoisonNotice, Verdict};

/// Time for which a request is refused and a crash is remembered.
const RETENTION: Duration = Duration::from_secs(300);
/// Maximum number of requests that are remembered.
const MAX_RECORDS: usize = 1024;

/// How a request is refused, with the time after which it may be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Until the next test, as the request may not be the cause of the crashes.
    HeldBack(Duration),
    /// A test crashed its target, too.
    Confirmed(Duration),
}

/// Detects requests that crash targets.
///
/// A request may be at work on targets that crash for another reason, at the same time or one after
/// another. Crashes therefore count only if the request was sent to the target after the crash
/// before was known. After two of them the request is held back, and one at a time is sent as a
/// test; only a third crash makes the daemons refuse it. An answer, to a test or to a request sent
/// before, clears it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoisonDetector {
    records: FxHashMap<Fingerprint, SuspectRecord>,
}

impl PoisonDetector {
    /// Returns whether there are no records of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns how a request is refused; `None` if it is not.
    pub fn refusal(&self, fingerprint: Fingerprint, now: BootTime) -> Option<Refusal> {
        let record = self.records.get(&fingerprint)?;
        if is_expired(record, now) {
            return None;
        }
        match record.verdict() {
            Verdict::Refused => {
                let left = RETENTION.saturating_sub(now.since(record.last_crash));
                Some(Refusal::Confirmed(left))
            }
            Verdict::HeldBack => {
                let left = record.time_to_test(now);
                (!left.is_zero()).then_some(Refusal::HeldBack(left))
            }
            _ => None,
        }
    }

    /// Records that a request is about to be sent. If this is a test, returns the notice for the
    /// other daemons; `None` if the request is not held back, or may not be sent.
    pub fn begin_test(&mut self, fingerprint: Fingerprint, now: BootTime) -> Option<PoisonNotice> {
        let record = self.records.get_mut(&fingerprint)?;
        let is_held_back = !is_expired(record, now) && record.verdict() == Verdict::HeldBack;
        if !is_held_back || !record.time_to_test(now).is_zero() {
            return None;
        }
        record.record_test(now);
        Some(PoisonNotice {
            fingerprint,
            target: String::new(),
            verdict: Verdict::Tested,
            relay: false,
            consecutive: record.consecutive(),
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
        PoisonNotice {
            fingerprint,
            target: target.to_owned(),
            verdict: record.verdict(),
            relay: false,
            consecutive: record.consecutive(),
        }
    }

    /// Applies a notice from another daemon.
    pub fn apply_notice(&mut self, notice: &PoisonNotice, now: BootTime) {
        match notice.verdict {
            Verdict::Cleared => {
                self.records.remove(&notice.fingerprint);
            }
            Verdict::Tested => {
                if let Some(record) = self.records.get_mut(&notice.fingerprint) {
                    record.record_test(now);
                }
            }
            Verdict::Suspect | Verdict::HeldBack | Verdict::Refused => {
                let record = self.record_mut(notice.fingerprint, now);
                record.add_notice(&notice.target, notice.consecutive, now);
            }
        }
    }

    /// Records that a target answered a request, which clears it. Returns the notice for the other
    /// daemons, if they hold back or refuse the request, or have a suspicion that this daemon told
    /// them of.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) -> Option<PoisonNotice> {
        let record = self.records.remove(&fingerprint)?;
        let is_shared = record.seen_locally || record.verdict() != Verdict::Suspect;
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

    /// Evicts the oldest suspect, or the oldest request that is held back or refused if there are
    /// no suspects.
    fn evict(&mut self) {
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, r)| (r.verdict() != Verdict::Suspect, r.last_crash))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.records.remove(&fingerprint);
        }
    }
}

fn is_expired(record: &SuspectRecord, now: BootTime) -> bool {
    now.since(record.last_crash) > RETENTION
}
