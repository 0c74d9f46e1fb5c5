//! The list of targets, as it follows the store.

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::BootTime, store::ListedHost};

/// Time behind the store's return in which targets whose entries lapsed meanwhile come back.
const RETURN_GRACE: Duration = Duration::from_millis(1700);
/// Age of the newest proof by any daemon up to which the store counts as working for others.
const STORE_WORKS: Duration = Duration::from_secs(2);

struct Entry {
    host: ListedHost,
    /// When the entry is dropped, as it was missing when the store returned.
    missing_until: Option<BootTime>,
}

/// The list of targets: entries that lapsed while the store was away stand for a short time
/// behind its return.
#[derive(Default)]
pub struct TargetList {
    entries: BTreeMap<String, Entry>,
    away_since: Option<BootTime>,
    returned: Option<BootTime>,
}

impl TargetList {
    /// Takes note that the store does not answer this daemon; `proof_age` is the age of the
    /// newest answer to any daemon. While it answers others, entries lapse for good reason.
    pub fn on_store_failure(&mut self, proof_age: Option<Duration>, now: BootTime) {
        if proof_age.is_none_or(|age| age >= STORE_WORKS) {
            self.away_since.get_or_insert(now);
        }
    }

    /// Takes note that the store answers.
    pub fn on_store_response(&mut self, now: BootTime) {
        if self.away_since.take().is_some() {
            self.returned = Some(now);
        }
    }

    /// Takes over the entry of one target.
    pub fn put(&mut self, host: ListedHost) {
        let entry = Entry {
            host,
            missing_until: None,
        };
        self.entries.insert(entry.host.name.clone(), entry);
    }

    /// Takes note that the entry of a target is gone.
    pub fn remove(&mut self, name: &str, now: BootTime) {
        let grace_end = self.returned.map(|at| at + RETURN_GRACE);
        let Some(end) = grace_end.filter(|end| *end > now) else {
            self.entries.remove(name);
            return;
        };
        if let Some(entry) = self.entries.get_mut(name) {
            entry.missing_until.get_or_insert(end);
        }
    }

    /// Takes over a whole reading of the entries.
    pub fn replace(&mut self, hosts: Vec<ListedHost>, now: BootTime) {
        let read: Vec<String> = hosts.iter().map(|h| h.name.clone()).collect();
        let names: Vec<String> = self.entries.keys().cloned().collect();
        for name in names.iter().filter(|name| !read.contains(name)) {
            self.remove(name, now);
        }
        hosts.into_iter().for_each(|host| self.put(host));
    }

    /// Drops the entries whose time has passed; tells whether there were any.
    pub fn expire(&mut self, now: BootTime) -> bool {
        let before = self.entries.len();
        let stands = |e: &Entry| e.missing_until.is_none_or(|end| end > now);
        self.entries.retain(|_, entry| stands(entry));
        self.entries.len() < before
    }

    /// Returns the targets, in the order of their names.
    pub fn hosts(&self) -> Vec<ListedHost> {
        self.entries.values().map(|e| e.host.clone()).collect()
    }

    /// Tells whether entries stand only until their grace ends.
    pub fn has_expiring(&self) -> bool {
        self.entries.values().any(|e| e.missing_until.is_some())
    }
}
