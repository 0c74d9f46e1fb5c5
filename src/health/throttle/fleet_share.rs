//! Selection of the daemons that may send requests to a limited target.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Selected daemons for each request per second of a limit.
const DAEMONS_PER_RATE: f64 = 1.2;
/// Selected daemons in addition, so that a target with a low limit stays in use while some of its
/// daemons are down.
const MIN_DAEMONS: f64 = 3.0;

/// The place of this daemon among all daemons of the fleet by rendezvous hashing for one target.
///
/// The fleet's members are the same for all daemons, connected or not, so that the selected ones
/// keep to the limit together without exchanging messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetShare {
    /// Number of daemons that come before this one.
    pub rank: usize,
    /// Number of daemons of the fleet.
    pub daemons: usize,
}

impl FleetShare {
    /// The share of a fleet of one daemon.
    pub const ALONE: Self = Self {
        rank: 0,
        daemons: 1,
    };

    /// The share of a daemon that does not know the fleet's members; it is never selected.
    pub const UNKNOWN: Self = Self {
        rank: usize::MAX,
        daemons: usize::MAX,
    };

    /// Returns the place of the daemon on `own_host` beside those on `others`, for `target`.
    pub fn new<'a>(own_host: &str, others: impl Iterator<Item = &'a str>, target: &str) -> Self {
        let own = rank_key(own_host, target);
        let mut share = Self::ALONE;
        for other in others.filter(|host| *host != own_host) {
            share.daemons += 1;
            share.rank += usize::from(rank_key(other, target) < own);
        }
        share
    }

    /// Returns the selected daemons among those on `hosts` for a `target` with a limit.
    pub fn selected<'a>(
        hosts: impl Iterator<Item = &'a str>,
        target: &str,
        limit_per_s: f64,
    ) -> Vec<&'a str> {
        let mut hosts: Vec<&str> = hosts.collect();
        hosts.sort_by_cached_key(|host| rank_key(host, target));
        hosts.truncate(selected_count(limit_per_s, hosts.len()));
        hosts
    }

    /// Returns the first `count` of the daemons on `hosts` for `target`.
    pub fn first<'a>(
        hosts: impl Iterator<Item = &'a str>,
        target: &str,
        count: usize,
    ) -> Vec<&'a str> {
        let mut hosts: Vec<&str> = hosts.collect();
        hosts.sort_by_cached_key(|host| rank_key(host, target));
        hosts.truncate(count);
        hosts
    }

    /// Returns this daemon's part of `rate_per_s`, which the first `count` daemons share equally;
    /// `None` if it is not one of them.
    pub fn part_of(&self, rate_per_s: f64, count: usize) -> Option<f64> {
        let selected = count.min(self.daemons);
        (self.rank < selected).then(|| rate_per_s / selected as f64)
    }

    /// Returns this daemon's part of a limit on the whole fleet, in requests per second; `None` if
    /// it is not selected.
    ///
    /// The number of selected daemons grows with the limit: each may send one request ahead of its
    /// rate, and few of them have enough requests to use up the limit.
    pub fn rate_per_s(&self, limit_per_s: f64) -> Option<f64> {
        let selected = selected_count(limit_per_s, self.daemons);
        (self.rank < selected).then(|| limit_per_s / selected as f64)
    }
}

/// Returns the number of selected daemons of a fleet of `daemons`.
fn selected_count(limit_per_s: f64, daemons: usize) -> usize {
    let selected = (limit_per_s * DAEMONS_PER_RATE + MIN_DAEMONS).floor();
    selected.min(daemons as f64) as usize
}

/// Returns the key by which daemons are ranked for a target.
fn rank_key<'a>(host: &'a str, target: &str) -> (u64, &'a str) {
    let seed = xxh3_64_with_seed(target.as_bytes(), 0);
    (xxh3_64_with_seed(host.as_bytes(), seed), host)
}
