//! Taking over configurations from the store.

use std::cell::RefCell;

use bytes::Bytes;

use crate::{
    clock::BootTime,
    routing::{Configuration, ConfigurationView},
    store::StoredRow,
};

use super::table_follower::{Answered, TableSink};

/// Decodes a configuration, or tells what is wrong with it.
type DecodeConfiguration = fn(&[u8]) -> Result<Configuration, String>;

/// Takes over the configuration that stands under one key.
pub struct ConfigurationSink {
    view: ConfigurationView,
    key: &'static str,
    decode: DecodeConfiguration,
    /// The configuration in force as it stood in the store.
    raw: RefCell<Option<Bytes>>,
}

impl ConfigurationSink {
    /// Makes a sink that takes the row `key` over into `view`.
    pub fn new(view: ConfigurationView, key: &'static str, decode: DecodeConfiguration) -> Self {
        Self {
            view,
            key,
            decode,
            raw: RefCell::default(),
        }
    }

    /// Returns the configuration in force as it stood in the store.
    pub fn raw(&self) -> Option<Bytes> {
        self.raw.borrow().clone()
    }

    /// Takes over a configuration that another daemon read.
    pub fn take_raw(&self, raw: &[u8]) {
        self.take_value(&Bytes::copy_from_slice(raw), None);
    }

    fn take(&self, row: &StoredRow) {
        if let Some(value) = row.value.as_ref().filter(|_| row.key == self.key) {
            self.take_value(value, Some(row.version));
        }
    }

    /// Takes over a configuration; `row` is the version of its row when this daemon read it.
    fn take_value(&self, value: &Bytes, row: Option<u64>) {
        let held = self.view.version();
        let row = row.unwrap_or_default();
        match (self.decode)(value) {
            Ok(cfg) => {
                let taken = self.view.update(&cfg);
                log::info!(version = cfg.version, held = held, row = row, taken = taken;
                    "configuration read");
                if taken {
                    *self.raw.borrow_mut() = Some(value.clone());
                }
            }
            Err(e) => {
                log::warn!(row = row, held = held, reason = e.as_str(); "configuration skipped");
            }
        }
    }
}

impl TableSink for ConfigurationSink {
    fn replace(&self, rows: Vec<StoredRow>, answered: &Answered) {
        self.apply(rows, answered);
    }

    fn apply(&self, rows: Vec<StoredRow>, answered: &Answered) {
        rows.iter().for_each(|row| self.take(row));
        self.view
            .prove(|f| f.record(answered.sent, answered.received, answered.store_time));
    }

    fn lost(&self, _: BootTime) {}
}
