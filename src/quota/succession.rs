//! The order in which the daemons of a data centre watch the lease of a slice whose holder may have
//! failed.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::BootTime;

/// Number of daemons, the standbys, that watch the lease at once.
const STANDBYS: usize = 2;
/// Time after which further daemons watch it, in case the standbys have failed as well; enough for a
/// restarted holder to renew its lease, and for daemons to learn of the holder in a new fleet.
const HEAD_START: Duration = Duration::from_millis(2500);
/// Time over which the further daemons begin to watch it, which spreads their reads of the store.
const SPREAD: Duration = Duration::from_secs(1);
/// Seed of the ranks.
const SEED: u64 = 0;

/// The rank of a daemon among those of its data centre that may take over the slice.
///
/// Daemons that have failed for good may still be counted, as their rows stay in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuccessionRank {
    /// Number of daemons ranked ahead.
    pub ahead: usize,
    /// Number of all ranked daemons.
    pub daemons: usize,
}

impl SuccessionRank {
    /// Ranks `own_host` among `others`.
    pub fn new<'a>(own_host: &str, others: impl Iterator<Item = &'a str>) -> Self {
        let score = |host: &str| xxh3_64_with_seed(host.as_bytes(), SEED);
        let own = score(own_host);
        let mut rank = Self {
            ahead: 0,
            daemons: 1,
        };
        for host in others {
            rank.daemons += 1;
            rank.ahead += usize::from(score(host) < own);
        }
        rank
    }

    /// Returns how long a slice must have lacked a holder before the daemon watches its lease.
    pub fn delay(&self) -> Duration {
        if self.ahead < STANDBYS {
            return Duration::ZERO;
        }
        HEAD_START + SPREAD.mul_f64(self.ahead as f64 / self.daemons as f64)
    }
}

/// Decides when a daemon begins to watch the lease of its data centre's slice.
///
/// Every daemon does so in the end, as any number of daemons ranked ahead may have failed.
#[derive(Debug, Clone, Default)]
pub struct Succession {
    vacant_since: Option<BootTime>,
    due: bool,
}

impl Succession {
    /// Returns whether the daemon watches the lease.
    pub fn is_due(&self) -> bool {
        self.due
    }

    /// Updates the state with whether the slice may lack a holder, and returns whether the daemon
    /// watches the lease.
    pub fn update(&mut self, may_lack_holder: bool, rank: SuccessionRank, now: BootTime) -> bool {
        if !may_lack_holder {
            *self = Self::default();
            return false;
        }
        let since = *self.vacant_since.get_or_insert(now);
        self.due = now.since(since) >= rank.delay();
        self.due
    }
}
