//! Passes the warm-up limits of the configuration in force on to the balancer.

use std::{cell::Cell, rc::Rc};

use crate::{
    clock::BootTime,
    health::{BalancerHandle, BalancerMessage, WarmupTerms, WarmupTolerance},
    routing::ConfigurationView,
    store::StoredRow,
};

use super::table_follower::TableSink;

/// Sends the warm-up limits to the balancer whenever another configuration is in force. Comes after
/// the sink that applies configurations.
pub struct WarmupSink {
    view: ConfigurationView,
    tolerance: WarmupTolerance,
    balancer: BalancerHandle,
    sent_version: Cell<u64>,
}

impl WarmupSink {
    /// Creates a sink that sends the limits of `view` to `balancer`.
    pub fn new(
        view: ConfigurationView,
        tolerance: WarmupTolerance,
        balancer: BalancerHandle,
    ) -> Self {
        Self {
            view,
            tolerance,
            balancer,
            sent_version: Cell::new(0),
        }
    }
}

impl TableSink for WarmupSink {
    fn replace(&self, rows: Vec<StoredRow>, now: BootTime) {
        self.apply(rows, now);
    }

    fn apply(&self, _: Vec<StoredRow>, _: BootTime) {
        let version = self.view.version();
        if self.sent_version.replace(version) == version {
            return;
        }
        let table = self.view.table();
        let terms = table.warmups().map(|(service, warmup)| {
            let terms = WarmupTerms::new(warmup, self.tolerance);
            log::info!(service = service, rate_per_s = terms.rate_per_s, daemons = terms.daemons,
                warmup_s = terms.duration.as_secs_f64(); "limit of cold targets read");
            (Rc::from(service), terms)
        });
        let message = BalancerMessage::SetWarmupTerms(terms.collect());
        self.balancer.send(message);
    }

    fn on_failure(&self, _: BootTime) {}
}
