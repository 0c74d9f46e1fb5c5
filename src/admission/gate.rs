//! The decision on single requests by the levels in force.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{AdmissionLevel, LevelMessage, MAX_RANKS};

/// Age up to which a level applies as received.
const LEVEL_FRESH: Duration = Duration::from_millis(1500);
/// Age at which a level has decayed to the admission of all requests.
const LEVEL_TTL: Duration = Duration::from_secs(3);
/// Shortest time after which a rejected request may be repeated.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest such time, for a rank of which almost nothing is admitted.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Largest part of the time that is added at random, so that clients do not return together.
const RETRY_SPREAD: f64 = 0.5;

/// The decision on one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum GateDecision {
    /// The request is admitted.
    Admit,
    /// The request is rejected.
    Reject {
        /// Time after which it may be repeated.
        retry_after: Duration,
        /// Share of the requests of its rank that is admitted.
        share: f64,
    },
}

#[derive(Debug)]
struct ServiceGate {
    level: AdmissionLevel,
    received_at: BootTime,
    /// Admitted requests that each rank has earned and not used.
    credits: FxHashMap<u32, f64>,
}

/// Decides which requests are admitted. Rejections of a rank are spread evenly over its requests.
#[derive(Debug)]
pub struct AdmissionGate {
    services: FxHashMap<Rc<str>, ServiceGate>,
    rng: fastrand::Rng,
}

impl AdmissionGate {
    /// Creates a gate that admits all requests until it gets levels.
    pub fn new(seed: u64) -> Self {
        Self {
            services: FxHashMap::default(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Replaces the levels by those of a reader. Invalid ones are dropped. Returns the services
    /// whose level appeared or disappeared, with the new level.
    pub fn apply(
        &mut self,
        msg: &LevelMessage,
        now: BootTime,
    ) -> Vec<(Rc<str>, Option<AdmissionLevel>)> {
        let mut changes = Vec::new();
        let valid = || msg.levels.iter().filter(|l| l.level.is_valid());
        self.services.retain(|service, _| {
            let stays = valid().any(|l| *l.service == **service);
            if !stays {
                changes.push((service.clone(), None));
            }
            stays
        });
        for new in valid() {
            if let Some(gate) = self.services.get_mut(&*new.service) {
                gate.level = new.level;
                gate.received_at = now;
                continue;
            }
            let service: Rc<str> = Rc::from(&*new.service);
            changes.push((service.clone(), Some(new.level)));
            let gate = ServiceGate {
                level: new.level,
                received_at: now,
                credits: FxHashMap::default(),
            };
            self.services.insert(service, gate);
        }
        changes
    }

    /// Decides on the first attempt of a request.
    pub fn decide(&mut self, service: &str, rank: u32, now: BootTime) -> GateDecision {
        let Some(gate) = self.services.get_mut(service) else {
            return GateDecision::Admit;
        };
        let share = gate.share(rank, now);
        if share >= 1.0 {
            return GateDecision::Admit;
        }
        if gate.credits.len() >= MAX_RANKS && !gate.credits.contains_key(&rank) {
            gate.credits.clear();
        }
        // Daemons begin at different credits, so that they do not admit requests in step.
        let start = self.rng.f64();
        let credit = gate.credits.entry(rank).or_insert(start);
        *credit += share;
        if *credit >= 1.0 {
            *credit -= 1.0;
            return GateDecision::Admit;
        }
        let retry_after = MIN_RETRY_AFTER
            .div_f64(share.max(0.01))
            .min(MAX_RETRY_AFTER);
        let spread = 1.0 + RETRY_SPREAD * self.rng.f64();
        GateDecision::Reject {
            retry_after: retry_after.mul_f64(spread),
            share,
        }
    }

    /// Returns whether any service has a level.
    pub fn has_levels(&self) -> bool {
        !self.services.is_empty()
    }

    /// Returns whether requests of a rank are being rejected, so that none is sent again.
    pub fn rejects(&self, service: &str, rank: u32, now: BootTime) -> bool {
        let gate = self.services.get(service);
        gate.is_some_and(|gate| gate.share(rank, now) < 1.0)
    }
}

impl ServiceGate {
    /// Returns the share of the requests of `rank` that is admitted, which returns to 1 as the
    /// level ages.
    fn share(&self, rank: u32, now: BootTime) -> f64 {
        let age = now.since(self.received_at).saturating_sub(LEVEL_FRESH);
        let decay = age.as_secs_f64() / (LEVEL_TTL - LEVEL_FRESH).as_secs_f64();
        let share = self.level.share(rank);
        (share + (1.0 - share) * decay).min(1.0)
    }
}
