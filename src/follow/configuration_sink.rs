//! Applies configurations read from the store.

use crate::{
    clock::BootTime,
    routing::{Configuration, ConfigurationView},
    store::StoredRow,
};

use super::table_follower::{ResponseTiming, TableSink};

/// Decodes a configuration, or returns what is invalid in it.
type DecodeConfiguration = fn(&[u8]) -> Result<Configuration, String>;

/// Publishes the configuration stored under one key to a [`ConfigurationView`].
pub struct ConfigurationSink {
    view: ConfigurationView,
    key: &'static str,
    decode: DecodeConfiguration,
}

impl ConfigurationSink {
    /// Creates a sink that publishes the row `key` to `view`.
    pub fn new(view: ConfigurationView, key: &'static str, decode: DecodeConfiguration) -> Self {
        Self { view, key, decode }
    }

    fn apply_row(&self, row: &StoredRow) {
        let Some(value) = row.value.as_ref().filter(|_| row.key == self.key) else {
            return;
        };
        let (held, row) = (self.view.version(), row.version);
        match (self.decode)(value) {
            Ok(cfg) => {
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
        self.apply(rows, now);
    }

    fn apply(&self, rows: Vec<StoredRow>, _: BootTime) {
        rows.iter().for_each(|row| self.apply_row(row));
    }

    fn on_response(&self, timing: &ResponseTiming) {
        self.view
            .update_freshness(|f| f.record_answer(timing.sent, timing.received, timing.store_time));
    }

    fn on_failure(&self, _: BootTime) {}
}
