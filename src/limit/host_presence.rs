//! Tracks which hosts have disappeared from the platform's list.

use std::{collections::BTreeMap, time::Duration};

use crate::clock::BootTime;

/// Time for which a host must be missing from the list before it counts as removed.
const REMOVED_AFTER: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
enum Presence {
    Listed,
    MissingSince(BootTime),
}

/// Tracks which hosts have disappeared from the platform's list, as seen by one daemon.
///
/// A host that was never seen in the list does not count as removed, because the list lags
/// behind the fleet.
#[derive(Debug, Clone, Default)]
pub struct HostPresence {
    hosts: BTreeMap<String, Presence>,
}

impl HostPresence {
    /// Updates the state from the hosts that are listed at `now`.
    pub fn observe<'a>(&mut self, listed: impl Iterator<Item = &'a str>, now: BootTime) {
        for presence in self.hosts.values_mut() {
            if matches!(presence, Presence::Listed) {
                *presence = Presence::MissingSince(now);
            }
        }
        for host in listed {
            self.hosts.insert(host.to_owned(), Presence::Listed);
        }
    }

    /// Returns whether `host` has been missing from the list for long enough to count as removed.
    pub fn is_removed(&self, host: &str, now: BootTime) -> bool {
        let is_missing = |p: &Presence| match p {
            Presence::Listed => false,
            Presence::MissingSince(since) => now.since(*since) >= REMOVED_AFTER,
        };
        self.hosts.get(host).is_some_and(is_missing)
    }
}
