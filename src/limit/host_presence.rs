//! Which hosts the platform's list dropped.

use std::{collections::BTreeMap, time::Duration};

use crate::clock::BootTime;

/// Time without an entry in the list after which a host counts as dropped.
const DROPPED_AFTER: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
enum Presence {
    Listed,
    MissingSince(BootTime),
}

/// Which hosts the platform's list dropped, as seen by one daemon.
///
/// A host that was never seen listed never counts as dropped, since the list lags.
#[derive(Debug, Clone, Default)]
pub struct HostPresence {
    hosts: BTreeMap<String, Presence>,
}

impl HostPresence {
    /// Takes in the hosts that are listed at `now`.
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

    /// Tells whether the list dropped `host` for good.
    pub fn is_dropped(&self, host: &str, now: BootTime) -> bool {
        let missing = |p: &Presence| match p {
            Presence::Listed => false,
            Presence::MissingSince(since) => now.since(*since) >= DROPPED_AFTER,
        };
        self.hosts.get(host).is_some_and(missing)
    }
}
