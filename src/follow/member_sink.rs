//! Applies the fleet's members and slice holders read from the store.

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use crate::{
    clock::BootTime,
    peer::PeerDirectory,
    quota::{HolderRow, SliceHolders},
    store::{ListedHost, StoredRow},
};

use super::{
    table_follower::{EraRows, TableSink},
    MemberRow,
};

/// Time within which members and holders of slices write lost rows again.
const LOST_MEMBER_GRACE: Duration = Duration::from_secs(10);

/// Updates the directory of peers and the holders of slices.
pub struct MemberSink {
    directory: PeerDirectory,
    holders: SliceHolders,
    members: RefCell<BTreeMap<String, ListedHost>>,
    era: RefCell<EraRows>,
}

impl MemberSink {
    /// Creates a sink that updates `directory` and `holders`.
    pub fn new(directory: PeerDirectory, holders: SliceHolders) -> Self {
        Self {
            directory,
            holders,
            members: RefCell::default(),
            era: RefCell::default(),
        }
    }

    fn apply_row(&self, row: StoredRow, now: BootTime) {
        if let Some(centre) = HolderRow::data_centre(&row.key) {
            return self.apply_holder(centre, &row, now);
        }
        let mut members = self.members.borrow_mut();
        let Some(value) = row.value else {
            members.remove(&row.key);
            return;
        };
        match serde_json::from_slice::<MemberRow>(&value) {
            Ok(member) => {
                let host = ListedHost {
                    name: row.key.clone(),
                    data_centre: member.data_centre,
                    address: member.address,
                    service: None,
                    slots: 0,
                    leaving: member.leaving,
                    cold: false,
                    born: None,
                };
                members.insert(row.key, host);
            }
            Err(e) => {
                let reason = e.to_string();
                log::warn!(member = row.key.as_str(), reason = reason.as_str(); "member skipped");
            }
        }
    }

    fn apply_holder(&self, data_centre: &str, row: &StoredRow, now: BootTime) {
        let value = row.value.as_ref();
        let holder = value.and_then(|v| serde_json::from_slice::<HolderRow>(v).ok());
        let Some(holder) = holder else {
            log::warn!(data_centre = data_centre, row = row.version; "slice holder skipped");
            return;
        };
        let host = holder.host.as_str();
        log::info!(data_centre = data_centre, holder = host, row = row.version; "slice holder read");
        let version = self.era.borrow().version(row);
        self.holders.set_from_row(data_centre, host, version, now);
    }

    fn publish(&self) {
        let hosts: Vec<ListedHost> = self.members.borrow().values().cloned().collect();
        log::info!(members = hosts.len(); "members read");
        self.directory.set_hosts(&hosts);
    }
}

impl TableSink for MemberSink {
    fn replace(&self, rows: Vec<StoredRow>, now: BootTime) {
        self.members.borrow_mut().clear();
        for row in rows {
            // The holder that a row of an earlier era names is known already, or a newer one is.
            let is_holder = HolderRow::data_centre(&row.key).is_some();
            if !(is_holder && self.era.borrow().retained.contains(&row.key)) {
                self.apply_row(row, now);
            }
        }
        self.publish();
    }

    fn apply(&self, rows: Vec<StoredRow>, now: BootTime) {
        if rows.is_empty() {
            return;
        }
        rows.into_iter().for_each(|row| self.apply_row(row, now));
        self.publish();
    }

    fn grace(&self, _: &str) -> Option<Duration> {
        Some(LOST_MEMBER_GRACE)
    }

    fn set_era(&self, rows: &EraRows) {
        *self.era.borrow_mut() = rows.clone();
    }

    fn on_failure(&self, _: BootTime) {}
}
