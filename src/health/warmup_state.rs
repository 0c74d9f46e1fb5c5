//! What a daemon knows about whether a target is cold.

use std::time::Duration;

use crate::{clock::BootTime, store::StoreVersion};

/// Longest warm-up that a target may state.
const MAX_WARMUP: Duration = Duration::from_secs(3600);

/// A reason to count a target as cold that is not its own statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Doubt {
    since: BootTime,
    /// Entries up to this version do not tell whether the target is cold now; `None` if no version
    /// is known from which they do.
    version: Option<StoreVersion>,
    /// Whether the first entry only sets `version`, as its age is not known.
    awaits_first_entry: bool,
    /// Whether the response to a probe tells that the target is warm.
    ends_by_probe: bool,
}

/// What a daemon knows about whether a target is cold: the statements of the target in its entry
/// and in responses to probes, and reasons for which it counts as cold without one.
#[derive(Debug, Clone, Default)]
pub struct WarmupState {
    /// The last entry that was applied, with the time that it states.
    entry: Option<(StoreVersion, Duration)>,
    entry_until: Option<BootTime>,
    probe_until: Option<BootTime>,
    doubt: Option<Doubt>,
    pub(super) probed_at: Option<BootTime>,
}

impl WarmupState {
    /// Creates the state of a target of the first list that a daemon reads after its start. The
    /// entry may be older than a change that the daemon did not observe, so that the target counts
    /// as cold until it states otherwise.
    pub fn unverified(now: BootTime) -> Self {
        let doubt = Doubt {
            since: now,
            version: None,
            awaits_first_entry: true,
            ends_by_probe: true,
        };
        Self {
            doubt: Some(doubt),
            ..Self::default()
        }
    }

    /// Applies the entry of the target of this version, which states that it is cold for `left`.
    /// An entry that was applied before is ignored, as it says nothing about the time since then.
    ///
    /// An entry that may have been written in an earlier era, as the store came back from an older
    /// copy, ends nothing that is known from an earlier era.
    pub fn record_entry(
        &mut self,
        version: StoreVersion,
        may_be_restored: bool,
        left: Duration,
        now: BootTime,
    ) {
        let is_same = |known: StoreVersion, known_left: Duration| {
            let is_unchanged = known.number == version.number && known_left == left;
            known == version || (may_be_restored && is_unchanged)
        };
        let former = self.entry.replace((version, left));
        if former.is_some_and(|(known, known_left)| is_same(known, known_left)) {
            return;
        }
        let is_cold = !left.is_zero();
        let until = is_cold.then(|| now + left.min(MAX_WARMUP));
        let is_of_new_era = former.is_some_and(|(known, _)| known.era != version.era);
        self.entry_until = if may_be_restored && is_of_new_era {
            self.entry_until.max(until)
        } else {
            until
        };
        let Some(doubt) = &mut self.doubt else {
            return;
        };
        if doubt.awaits_first_entry {
            doubt.awaits_first_entry = false;
            doubt.version = Some(version);
            return;
        }
        let is_written_after =
            |known: StoreVersion| version > known && (version.era == known.era || !may_be_restored);
        if !is_cold && doubt.version.is_some_and(is_written_after) {
            self.doubt = None;
        }
    }

    /// Applies a response to a probe, which states that the target is cold for `left`; returns
    /// whether it shows that a target that was not verified is warm.
    pub fn record_probe(&mut self, left: Duration, now: BootTime) -> bool {
        let is_cold = !left.is_zero();
        self.probe_until = is_cold.then(|| now + left.min(MAX_WARMUP));
        let is_verified = !is_cold && self.doubt.is_some_and(|doubt| doubt.ends_by_probe);
        if is_verified {
            self.doubt = None;
        }
        is_verified
    }

    /// Records that the evacuation of the target's data centre ended with `version` of the store,
    /// if that is known. The target may have become cold while its entry says otherwise.
    pub fn record_return(&mut self, version: Option<StoreVersion>, now: BootTime) {
        self.doubt = Some(Doubt {
            since: now,
            version,
            awaits_first_entry: false,
            ends_by_probe: false,
        });
    }

    /// Returns until when the target counts as cold; `duration` is the time for which targets of
    /// its service are cold after their start.
    pub fn cold_until(&self, duration: Duration) -> Option<BootTime> {
        let doubt_end = self.doubt.map(|doubt| doubt.since + duration);
        self.entry_until.max(self.probe_until).max(doubt_end)
    }

    /// Returns whether a probe may tell that the target is warm.
    pub fn needs_probe(&self, duration: Duration, now: BootTime) -> bool {
        let doubt = self.doubt.filter(|doubt| doubt.ends_by_probe);
        doubt.is_some_and(|doubt| doubt.since + duration > now)
    }
}
