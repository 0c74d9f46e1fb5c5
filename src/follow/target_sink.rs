//! Applies the list of targets read from the store.

use std::{cell::RefCell, rc::Rc, time::Duration};

use crate::{
    admission::AdmissionHandle,
    clock::{BootTime, Clock},
    health::{BalancerHandle, BalancerMessage, EntryWarmup},
    routing::ConfigurationView,
    store::{ListedHost, StoredRow},
};

use super::{
    table_follower::{EraRows, TableSink},
    TargetList,
};

/// Time between two checks for entries whose grace period is over.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);

/// Time within which targets write lost entries again.
const LOST_ENTRY_GRACE: Duration = Duration::from_secs(2);

/// Decodes the entry of a target, or returns what is invalid in it.
type DecodeTarget = fn(&str, &[u8]) -> Result<ListedHost, String>;
/// Returns the time for which an entry states that its target is cold.
type DecodeWarmup = fn(&[u8]) -> Duration;

/// Maintains the list of targets and sends each change to the balancer.
pub struct TargetSink {
    list: Rc<RefCell<TargetList>>,
    era: RefCell<EraRows>,
    balancer: BalancerHandle,
    decode: DecodeTarget,
    decode_warmup: DecodeWarmup,
    view: ConfigurationView,
    admission: AdmissionHandle,
    clock: Rc<dyn Clock>,
}

impl TargetSink {
    /// Creates a sink that sends changes to `balancer` and `admission`.
    pub fn new(
        balancer: BalancerHandle,
        decode: DecodeTarget,
        decode_warmup: DecodeWarmup,
        view: ConfigurationView,
        admission: AdmissionHandle,
        clock: Rc<dyn Clock>,
    ) -> Self {
        Self {
            list: Rc::default(),
            era: RefCell::default(),
            balancer,
            decode,
            decode_warmup,
            view,
            admission,
            clock,
        }
    }

    fn decode(&self, row: &StoredRow) -> Option<ListedHost> {
        let value = row.value.as_ref()?;
        match (self.decode)(&row.key, value) {
            Ok(host) => Some(host),
            Err(e) => {
                log::warn!(target_name = row.key.as_str(), row = row.version, reason = e.as_str();
                    "target entry skipped");
                None
            }
        }
    }

    fn publish(&self) {
        let hosts = self.list.borrow().hosts();
        self.admission.set_targets(&hosts);
        self.balancer
            .send(BalancerMessage::SetTargets(Rc::new(hosts)));
        if self.list.borrow().has_expiring() {
            monoio::spawn(expire_task(
                self.list.clone(),
                self.balancer.clone(),
                self.clock.clone(),
            ));
        }
    }

    /// Tells the balancer what entries that were read state about the warm-up of their targets. The
    /// list must have been published before.
    fn publish_warmups(&self, rows: &[StoredRow]) {
        let era = self.era.borrow();
        let warmup = |row: &StoredRow| {
            Some(EntryWarmup {
                target: row.key.clone(),
                version: era.version(row),
                may_be_restored: era.may_be_restored(row),
                left: (self.decode_warmup)(row.value.as_ref()?),
            })
        };
        let entries = rows.iter().filter_map(warmup).collect();
        self.balancer.send(BalancerMessage::RecordEntries(entries));
    }

    fn apply_row(&self, row: &StoredRow, now: BootTime) {
        let (key, version) = (row.key.as_str(), row.version);
        let host = self.decode(row);
        let mut list = self.list.borrow_mut();
        match host {
            Some(host) => {
                log::info!(target_name = key, row = version, leaving = host.leaving;
                    "target listed");
                list.put(host);
            }
            None => {
                log::info!(target_name = key, row = version; "target no longer listed");
                list.remove(key, now);
            }
        }
    }
}

impl TableSink for TargetSink {
    fn replace(&self, mut rows: Vec<StoredRow>, now: BootTime) {
        let hosts: Vec<ListedHost> = rows.iter().filter_map(|r| self.decode(r)).collect();
        log::info!(targets = hosts.len(); "targets read");
        {
            let mut list = self.list.borrow_mut();
            list.on_store_response(now);
            list.replace(hosts, now);
        }
        self.publish();
        // Rows that stay in force from an earlier era were passed on there.
        rows.retain(|row| !self.era.borrow().retained.contains(&row.key));
        self.publish_warmups(&rows);
    }

    fn apply(&self, rows: Vec<StoredRow>, now: BootTime) {
        self.list.borrow_mut().on_store_response(now);
        if rows.is_empty() {
            return;
        }
        for row in &rows {
            self.apply_row(row, now);
        }
        self.publish();
        self.publish_warmups(&rows);
    }

    /// A target that is leaving must not seem ready, nor one that is ready be missing, before it has
    /// written its entry again.
    fn grace(&self, _: &str) -> Option<Duration> {
        Some(LOST_ENTRY_GRACE)
    }

    fn set_era(&self, rows: &EraRows) {
        *self.era.borrow_mut() = rows.clone();
    }

    fn on_failure(&self, now: BootTime) {
        let proof_age = self.view.freshness().age(now);
        self.list.borrow_mut().on_store_failure(proof_age, now);
    }
}

/// Drops entries as their grace periods end, until none is left to expire.
async fn expire_task(
    list: Rc<RefCell<TargetList>>,
    balancer: BalancerHandle,
    clock: Rc<dyn Clock>,
) {
    while list.borrow().has_expiring() {
        monoio::time::sleep(EXPIRE_INTERVAL).await;
        if list.borrow_mut().expire(clock.now()) {
            let hosts = list.borrow().hosts();
            balancer.send(BalancerMessage::SetTargets(Rc::new(hosts)));
        }
    }
}
