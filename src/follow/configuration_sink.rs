//! Taking over configurations from the store.

use crate::{
    clock::BootTime,
    routing::{Configuration, ConfigurationView},
    store::StoredRow,
};

use super::table_follower::{ResponseTiming, TableSink};

/// Decodes a configuration, or tells what is wrong with it.
type DecodeConfiguration = fn(&[u8]) -> Result<Configuration, String>;

/// Takes over the configuration that stands under one key.
pub struct ConfigurationSink {
    view: ConfigurationView,
    key: &'static str,
    decode: DecodeConfiguration,
}

impl ConfigurationSink {
    /// Makes a sink that takes the row `key` over into `view`.
    pub fn new(view: ConfigurationView, key: &'static str, decode: DecodeConfiguration) -> Self {
        Self { view, key, decode }
    }

    fn take(&self, row: &StoredRow) {
        let Some(value) = row.value.as_ref().filter(|_| row.key == self.key) else {
            return;
        };
        let (held, row) = (self.view.version(), row.version);
        match (self.decode)(value) {
            Ok(cfg) => {
                let taken = self.view.apply(&cfg);
                log::info!(version = cfg.version, held = held, row = row, taken = taken;
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
        rows.iter().for_each(|row| self.take(row));
    }

    fn on_response(&self, timing: &ResponseTiming) {
        self.view
            .update_freshness(|f| f.record_answer(timing.sent, timing.received, timing.store_time));
    }

    fn on_failure(&self, _: BootTime) {}
}
