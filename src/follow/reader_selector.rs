//! Selection of the daemons of a data centre that read the store for the others.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::BootTime;

/// Readers of a data centre: the first one reads the store, each further one only while those
/// before it cannot. If a third of the hosts cannot reach the store, one group of four in 80 has
/// no member that can.
const READERS: usize = 4;
/// Time for which a daemon that did not respond is not selected.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(10);
/// Time for which a daemon that leaves is not selected, enough for its shutdown and the start of the
/// next daemon on its host.
const LEAVING_BACKOFF: Duration = Duration::from_secs(10);
/// Seed of the ranks, different from that of the slice holders.
const SEED: u64 = 1;

/// Selects the readers of a data centre by rendezvous hashing of its daemons.
#[derive(Debug, Default)]
pub struct ReaderSelector {
    excluded_until: FxHashMap<Rc<str>, BootTime>,
}

impl ReaderSelector {
    /// Returns the readers among `hosts` by rank, without those that recently did not respond.
    pub fn select(&self, hosts: &[Rc<str>], now: BootTime) -> Vec<Rc<str>> {
        let is_excluded = |host: &Rc<str>| self.excluded_until.get(host).is_some_and(|t| *t > now);
        let mut readers: Vec<Rc<str>> = hosts.iter().filter(|h| !is_excluded(h)).cloned().collect();
        readers.sort_by_key(|host| (xxh3_64_with_seed(host.as_bytes(), SEED), host.clone()));
        readers.truncate(READERS);
        readers
    }

    /// Excludes a reader that has announced that it leaves from selection for some time.
    pub fn mark_leaving(&mut self, host: &Rc<str>, now: BootTime) {
        self.excluded_until
            .insert(host.clone(), now + LEAVING_BACKOFF);
    }

    /// Excludes a reader that did not respond from selection for some time.
    pub fn mark_unresponsive(&mut self, host: &Rc<str>, now: BootTime) {
        self.excluded_until
            .insert(host.clone(), now + UNRESPONSIVE_BACKOFF);
    }
}
