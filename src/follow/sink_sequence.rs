//! Several sinks of one table.

use std::{rc::Rc, time::Duration};

use crate::{clock::BootTime, store::StoredRow};

use super::table_follower::{EraRows, ResponseTiming, TableSink};

/// Passes the changes of one table on to several sinks, in their order.
pub struct SinkSequence {
    sinks: Vec<Rc<dyn TableSink>>,
}

impl SinkSequence {
    /// Creates a sequence of `sinks`.
    pub fn new(sinks: Vec<Rc<dyn TableSink>>) -> Self {
        Self { sinks }
    }
}

impl TableSink for SinkSequence {
    fn replace(&self, rows: Vec<StoredRow>, now: BootTime) {
        for sink in &self.sinks {
            sink.replace(rows.clone(), now);
        }
    }

    fn apply(&self, rows: Vec<StoredRow>, now: BootTime) {
        for sink in &self.sinks {
            sink.apply(rows.clone(), now);
        }
    }

    /// A row stays in force for as long as one of the sinks needs it.
    fn grace(&self, key: &str) -> Option<Duration> {
        self.sinks.iter().filter_map(|sink| sink.grace(key)).max()
    }

    fn set_era(&self, rows: &EraRows) {
        for sink in &self.sinks {
            sink.set_era(rows);
        }
    }

    fn on_response(&self, timing: &ResponseTiming) {
        for sink in &self.sinks {
            sink.on_response(timing);
        }
    }

    fn on_failure(&self, now: BootTime) {
        for sink in &self.sinks {
            sink.on_failure(now);
        }
    }
}
