//! Decides in which eras of the store a read proves that the configuration is up to date.

use std::time::Duration;

use crate::{clock::BootTime, store::Era};

/// Time for which a daemon that started without a configuration does not trust what it read in a store
/// that states eras, unless another daemon confirms it: the store may have come back from an older
/// copy just before, and the operator writes the configuration again within seconds.
const START_HOLD: Duration = Duration::from_secs(3);

/// Whether a read of the configuration in an era of the store proves that it is up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraVerdict {
    /// It does.
    Proves,
    /// The configuration read in the era is older than the one in force, or none was read.
    OlderConfiguration,
    /// The daemon started a moment ago, and no other daemon confirmed what it read.
    Unconfirmed,
    /// A later era is known.
    EarlierEra,
}

/// Tracks which eras of the store have caught up with the configuration in force.
///
/// A store that came back from an older copy states that the older configuration is the newest. A read
/// proves this only once the operator has written the configuration again. In a store that states no
/// era every read does.
#[derive(Debug, Clone, Default)]
pub struct EraGate {
    /// The era in which reads prove freshness.
    proven_in: Option<Era>,
    /// Version of the configuration in the newest copy of the store's rows; `None` if it has none.
    read: Option<u64>,
    /// When the daemon last had a reason not to trust its first read.
    unconfirmed_since: Option<BootTime>,
    trusts_start: bool,
}

impl EraGate {
    /// Trusts the first read without confirmation, as no daemon of the fleet ran before.
    pub fn trust_start(&mut self) {
        self.trusts_start = true;
    }

    /// Returns the newest era in which reads proved freshness.
    pub fn proven_in(&self) -> Option<Era> {
        self.proven_in
    }

    /// Records the version of the configuration that was read; `None` if all rows are read anew.
    pub fn record_read(&mut self, version: Option<u64>) {
        self.read = version;
    }

    /// Returns whether reads in `era` prove freshness of the configuration with version `in_force`.
    pub fn verdict(&self, era: Era, in_force: u64) -> EraVerdict {
        if self.proven_in == Some(era) {
            return EraVerdict::Proves;
        }
        if self.proven_in.is_some_and(|proven| era < proven) {
            return EraVerdict::EarlierEra;
        }
        if !era.is_stated() {
            return EraVerdict::Proves;
        }
        if self.read < Some(in_force) {
            EraVerdict::OlderConfiguration
        } else if self.proven_in.is_none() && !self.trusts_start {
            EraVerdict::Unconfirmed
        } else {
            EraVerdict::Proves
        }
    }

    /// Handles a response of the store in `era`.
    pub fn on_answer(&mut self, era: Era, in_force: u64, now: BootTime) -> EraVerdict {
        let mut verdict = self.verdict(era, in_force);
        if verdict == EraVerdict::Unconfirmed {
            let since = *self.unconfirmed_since.get_or_insert(now);
            if now.since(since) >= START_HOLD {
                verdict = EraVerdict::Proves;
            }
        }
        self.adopt(verdict, era)
    }

    /// Handles the proof of another daemon for a copy of `era`, which confirms a first read.
    pub fn on_peer_proof(&mut self, era: Era, in_force: u64) -> EraVerdict {
        let verdict = match self.verdict(era, in_force) {
            EraVerdict::Unconfirmed => EraVerdict::Proves,
            verdict => verdict,
        };
        self.adopt(verdict, era)
    }

    /// Handles another daemon that holds a newer configuration than the store.
    pub fn on_waiting_peer(&mut self, now: BootTime) {
        self.unconfirmed_since = Some(now);
    }

    fn adopt(&mut self, verdict: EraVerdict, era: Era) -> EraVerdict {
        if verdict == EraVerdict::Proves {
            self.proven_in = Some(era);
        }
        verdict
    }
}
