//! Applies the operator's evacuation rows read from the store.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use crate::{
    clock::BootTime,
    health::{BalancerHandle, BalancerMessage, Evacuations, Reversal},
    metrics::{Counter, Metrics},
    store::StoredRow,
};

use super::{
    configuration_sink::LOST_ROW_GRACE,
    table_follower::{EraRows, TableSink},
    EvacuationChange, EvacuationList,
};

/// Names and formats of the evacuation rows.
#[derive(Clone, Copy)]
pub struct EvacuationFormat {
    /// Returns the data centre that a key names; `None` if the key is that of another kind of row.
    pub data_centre: fn(&str) -> Option<&str>,
    /// Returns what is invalid in a value.
    pub check_value: fn(&[u8]) -> Result<(), String>,
}

/// Maintains the set of evacuated data centres and sends each change to the balancer.
pub struct EvacuationSink {
    list: RefCell<EvacuationList>,
    era: RefCell<EraRows>,
    format: EvacuationFormat,
    known: BTreeSet<String>,
    balancer: BalancerHandle,
    metrics: Rc<Metrics>,
}

impl EvacuationSink {
    /// Creates a sink that sends changes to `balancer`. A row whose data centre is not one of
    /// `known` is reported, but in force.
    pub fn new(
        format: EvacuationFormat,
        known: &[String],
        balancer: BalancerHandle,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self {
            list: RefCell::default(),
            era: RefCell::default(),
            format,
            known: known.iter().cloned().collect(),
            balancer,
            metrics,
        }
    }

    /// Returns the data centre that a row evacuates, and reports what is invalid in the row. Only
    /// an empty name keeps a row from being in force.
    fn check<'a>(&self, row: &'a StoredRow) -> Option<&'a str> {
        let data_centre = (self.format.data_centre)(&row.key)?;
        let value = row.value.as_ref();
        let bad_value = value.and_then(|v| (self.format.check_value)(v).err());
        let problem = if data_centre.is_empty() {
            Some("empty name of a data centre".to_owned())
        } else if value.is_some() && !self.known.contains(data_centre) {
            Some("unknown data centre".to_owned())
        } else {
            bad_value
        };
        if let Some(reason) = problem {
            self.metrics.count(Counter::EvacuationRowsInvalid);
            log::warn!(data_centre = data_centre, row = row.version, reason = reason.as_str(),
                in_force = !data_centre.is_empty(); "evacuation row is invalid");
        }
        Some(data_centre).filter(|name| !name.is_empty())
    }

    fn publish(&self, changes: &[EvacuationChange], rows: &BTreeMap<&str, u64>) {
        if changes.is_empty() {
            return;
        }
        let mut reverted = Vec::new();
        for change in changes {
            match change {
                EvacuationChange::Started(name) => {
                    self.metrics.count(Counter::EvacuationsStarted);
                    log::info!(data_centre = &**name, row = rows.get(&**name).copied();
                        "evacuation of a data centre started");
                }
                EvacuationChange::Reverted {
                    data_centre,
                    version,
                } => {
                    self.metrics.count(Counter::EvacuationsReverted);
                    log::info!(data_centre = &**data_centre, row:? = version;
                        "evacuation of a data centre reverted");
                    reverted.push(Reversal {
                        data_centre: data_centre.clone(),
                        version: *version,
                    });
                }
            }
        }
        let in_force = self.list.borrow().in_force().clone();
        self.balancer
            .send(BalancerMessage::SetEvacuations(Evacuations {
                in_force,
                reverted,
            }));
    }
}

impl TableSink for EvacuationSink {
    fn replace(&self, rows: Vec<StoredRow>, _: BootTime) {
        let checked = rows
            .iter()
            .filter_map(|r| Some((self.check(r)?, r.version)));
        let found: BTreeMap<&str, u64> = checked.collect();
        let names = found.keys().map(|name| Rc::from(*name)).collect();
        let changes = self.list.borrow_mut().replace(names);
        self.publish(&changes, &found);
    }

    fn apply(&self, rows: Vec<StoredRow>, _: BootTime) {
        let (mut changes, mut found) = (Vec::new(), BTreeMap::new());
        for row in &rows {
            let Some(data_centre) = self.check(row) else {
                continue;
            };
            found.insert(data_centre, row.version);
            let mut list = self.list.borrow_mut();
            if row.value.is_some() {
                changes.extend(list.start(data_centre));
            } else {
                changes.push(list.revert(data_centre, self.era.borrow().version(row)));
            }
        }
        self.publish(&changes, &found);
    }

    fn grace(&self, key: &str) -> Option<Duration> {
        (self.format.data_centre)(key).map(|_| LOST_ROW_GRACE)
    }

    fn set_era(&self, rows: &EraRows) {
        *self.era.borrow_mut() = rows.clone();
    }

    fn on_failure(&self, _: BootTime) {}
}
