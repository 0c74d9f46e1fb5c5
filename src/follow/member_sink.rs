//! Taking over the daemons of the fleet from the store.

use std::{cell::RefCell, collections::BTreeMap};

use crate::{
    clock::BootTime,
    peer::PeerDirectory,
    quota::{HolderRow, SliceHolders},
    store::{ListedHost, StoredRow},
};

use super::{table_follower::TableSink, MemberRow};

/// Keeps the directory of peers and the holders of slices.
pub struct MemberSink {
    directory: PeerDirectory,
    owners: SliceHolders,
    members: RefCell<BTreeMap<String, ListedHost>>,
}

impl MemberSink {
    /// Makes a sink that keeps `directory` and `owners`.
    pub fn new(directory: PeerDirectory, owners: SliceHolders) -> Self {
        Self {
            directory,
            owners,
            members: RefCell::default(),
        }
    }

    fn take(&self, row: StoredRow) {
        if let Some(centre) = HolderRow::data_centre(&row.key) {
            return self.take_owner(centre, &row);
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
                };
                members.insert(row.key, host);
            }
            Err(e) => {
                let reason = e.to_string();
                log::warn!(member = row.key.as_str(), reason = reason.as_str(); "member skipped");
            }
        }
    }

    fn take_owner(&self, data_centre: &str, row: &StoredRow) {
        let value = row.value.as_ref();
        let owner = value.and_then(|v| serde_json::from_slice::<HolderRow>(v).ok());
        let Some(owner) = owner else {
            log::warn!(data_centre = data_centre, row = row.version; "holder of a slice skipped");
            return;
        };
        let host = owner.host.as_str();
        log::info!(data_centre = data_centre, holder = host, row = row.version; "slice held");
        self.owners.set(data_centre, host);
    }

    fn publish(&self) {
        let hosts: Vec<ListedHost> = self.members.borrow().values().cloned().collect();
        log::info!(members = hosts.len(); "members read");
        self.directory.set_hosts(&hosts);
    }
}

impl TableSink for MemberSink {
    fn replace(&self, rows: Vec<StoredRow>, _: BootTime) {
        self.members.borrow_mut().clear();
        rows.into_iter().for_each(|row| self.take(row));
        self.publish();
    }

    fn apply(&self, rows: Vec<StoredRow>, _: BootTime) {
        if rows.is_empty() {
            return;
        }
        rows.into_iter().for_each(|row| self.take(row));
        self.publish();
    }

    fn on_failure(&self, _: BootTime) {}
}
