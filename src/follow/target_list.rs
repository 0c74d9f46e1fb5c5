//! The list of targets, kept stable through outages of the store.

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::BootTime, store::ListedHost};

/// Time after the end of an outage in which targets whose entries expired during it can register
/// again.
const RECOVERY_GRACE: Duration = Duration::from_millis(1700);
/// Age of the newest freshness proof up to which the store counts as available to other daemons.
const MAX_PROOF_AGE: Duration = Duration::from_secs(2);

struct Entry {
    host: ListedHost,
    /// When the entry is dropped; set if it was missing from the store after an outage.
    expires_at: Option<BootTime>,
}

/// The list of targets.
///
/// Entries that expired in the store during an outage of it stay listed for a grace period after
/// the outage, since their targets could not renew them.
#[derive(Default)]
pub struct TargetList {
    entries: BTreeMap<String, Entry>,
    outage_began: Option<BootTime>,
    outage_ended: Option<BootTime>,
}

impl TargetList {
    /// Records that the store does not respond to this daemon; `proof_age` is the age of the
    /// newest freshness proof from any daemon. A recent proof means that the store is available to
    /// others, so that an expired entry shows a target that is gone.
    pub fn on_store_failure(&mut self, proof_age: Option<Duration>, now: BootTime) {
        if proof_age.is_none_or(|age| age >= MAX_PROOF_AGE) {
            self.outage_began.get_or_insert(now);
        }
    }

    /// Records that the store responds.
    pub fn on_store_response(&mut self, now: BootTime) {
        if self.outage_began.take().is_some() {
            self.outage_ended = Some(now);
        }
    }

    /// Inserts or updates the entry of one target.
    pub fn put(&mut self, host: ListedHost) {
        let entry = Entry {
            host,
            expires_at: None,
        };
        self.entries.insert(entry.host.name.clone(), entry);
    }

    /// Removes the entry of a target, at once or at the end of the grace period after an outage.
    pub fn remove(&mut self, name: &str, now: BootTime) {
        let grace_end = self.outage_ended.map(|at| at + RECOVERY_GRACE);
        let Some(end) = grace_end.filter(|end| *end > now) else {
            self.entries.remove(name);
            return;
        };
        if let Some(entry) = self.entries.get_mut(name) {
            entry.expires_at.get_or_insert(end);
        }
    }

    /// Replaces the list by the result of a full read.
    pub fn replace(&mut self, hosts: Vec<ListedHost>, now: BootTime) {
        let listed: Vec<String> = hosts.iter().map(|h| h.name.clone()).collect();
        let names: Vec<String> = self.entries.keys().cloned().collect();
        for name in names.iter().filter(|name| !listed.contains(name)) {
            self.remove(name, now);
        }
        hosts.into_iter().for_each(|host| self.put(host));
    }

    /// Drops the entries whose grace period is over; returns whether there were any.
    pub fn expire(&mut self, now: BootTime) -> bool {
        let before = self.entries.len();
        let is_kept = |e: &Entry| e.expires_at.is_none_or(|end| end > now);
        self.entries.retain(|_, entry| is_kept(entry));
        self.entries.len() < before
    }

    /// Returns the targets, in the order of their names.
    pub fn hosts(&self) -> Vec<ListedHost> {
        self.entries.values().map(|e| e.host.clone()).collect()
    }

    /// Returns whether some entries are kept only until their grace period ends.
    pub fn has_expiring(&self) -> bool {
        self.entries.values().any(|e| e.expires_at.is_some())
    }
}
