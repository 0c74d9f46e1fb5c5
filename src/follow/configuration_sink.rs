//! Applies configurations read from the store.

use std::{cell::Cell, time::Duration};

use crate::{
    clock::BootTime,
    routing::{Configuration, ConfigurationView, EraVerdict},
    store::StoredRow,
};

use super::table_follower::{ResponseTiming, TableSink};

/// Time within which the operator writes lost rows other than the configuration again.
pub(super) const LOST_ROW_GRACE: Duration = Duration::from_secs(10);

/// Decodes a configuration, or returns what is invalid in it.
type DecodeConfiguration = fn(&[u8]) -> Result<Configuration, String>;

/// Publishes the configuration stored under one key to a [`ConfigurationView`].
pub struct ConfigurationSink {
    view: ConfigurationView,
    key: &'static str,
    decode: DecodeConfiguration,
    verdict: Cell<EraVerdict>,
}

impl ConfigurationSink {
    /// Creates a sink that publishes the row `key` to `view`.
    pub fn new(view: ConfigurationView, key: &'static str, decode: DecodeConfiguration) -> Self {
        Self {
            view,
            key,
            decode,
            verdict: Cell::new(EraVerdict::Proves),
        }
    }

    fn apply_row(&self, row: &StoredRow) {
        let Some(value) = row.value.as_ref().filter(|_| row.key == self.key) else {
            return;
        };
        let (held, row) = (self.view.version(), row.version);
        match (self.decode)(value) {
            Ok(cfg) => {
                self.view.update_eras(|e| e.record_read(Some(cfg.version)));
                let updated = self.view.apply(&cfg);
                log::info!(version = cfg.version, held = held, row = row, taken = updated;
                    "configuration read");
            }
            Err(e) => {
                log::warn!(row = row, held = held, reason = e.as_str(); "configuration skipped");
            }
        }
    }
}

impl TableSink for ConfigurationSink {
    fn replace(&self, rows: Vec<StoredRow>, now: BootTime) {
        self.view.update_eras(|e| e.record_read(None));
        self.apply(rows, now);
    }

    fn apply(&self, rows: Vec<StoredRow>, _: BootTime) {
        rows.iter().for_each(|row| self.apply_row(row));
    }

    fn on_response(&self, timing: &ResponseTiming) {
        let ResponseTiming {
            sent,
            received,
            store_time,
            era,
        } = *timing;
        let verdict = self.view.record_answer(era, sent, received, store_time);
        if self.verdict.replace(verdict) != verdict {
            log::info!(era:% = era, version = self.view.version(), verdict:? = verdict;
                "whether the store proves the configuration changed");
        }
    }

    /// The configuration needs no grace, as the one in force is replaced by newer ones only.
    fn grace(&self, key: &str) -> Option<Duration> {
        (key != self.key).then_some(LOST_ROW_GRACE)
    }

    fn on_failure(&self, _: BootTime) {}
}
