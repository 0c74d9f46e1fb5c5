//! Which daemons of a data centre read the configuration from the store for the others.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::BootTime;

/// Daemons of a data centre that may read for the others: the first one does, each further one
/// when those before it cannot. Where a third of the hosts cannot reach the store, one group of
/// four in 80 has none that can.
const READERS: usize = 4;
/// Time for which a daemon that did not answer is passed over.
const SILENT_PAUSE: Duration = Duration::from_secs(10);
/// Seed of the ranks, another one than that of the holders of slices.
const SEED: u64 = 1;

/// Chooses the readers of a data centre by rendezvous hashing over its daemons.
#[derive(Debug, Default)]
pub struct ReaderSelector {
    silent_until: FxHashMap<Rc<str>, BootTime>,
}

impl ReaderSelector {
    /// Returns the readers among `hosts`, the first one first, without those that were silent.
    pub fn select(&self, hosts: &[Rc<str>], now: BootTime) -> Vec<Rc<str>> {
        let is_silent = |host: &Rc<str>| self.silent_until.get(host).is_some_and(|t| *t > now);
        let mut answering: Vec<Rc<str>> = hosts.iter().filter(|h| !is_silent(h)).cloned().collect();
        answering.sort_by_key(|host| (xxh3_64_with_seed(host.as_bytes(), SEED), host.clone()));
        answering.truncate(READERS);
        answering
    }

    /// Takes note that a reader did not answer.
    pub fn mark_unresponsive(&mut self, host: &Rc<str>, now: BootTime) {
        self.silent_until.insert(host.clone(), now + SILENT_PAUSE);
    }
}
