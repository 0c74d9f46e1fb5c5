//! The admission level of a service, and its derivation from demand and load.

use serde::{Deserialize, Serialize};

use super::ServiceLoad;

/// Largest load that is taken into account, as a share of the slots: one running and four waiting
/// requests per slot, beyond which targets shed.
pub const MAX_LOAD: f64 = 5.0;
/// Load from which a level is derived at any rate of requests. At 0.95 of full load, requests that
/// daemons place independently already cause a load of 2.3.
const MIN_LOAD: f64 = 3.2;
/// Load from which a level is derived if [`MIN_EXCESS`] is offered, too. It shows that all slots
/// are busy, before the queues of the targets are full.
const MIN_EXCESS_LOAD: f64 = 1.1;
/// Offered requests, as a multiple of the answered ones, that show overload. At 0.95 of full load
/// the fleet's measured rates differ by some 5% at random.
const MIN_EXCESS: f64 = 1.22;
/// Offered requests, as a multiple of the capacity, that are needed, too. After a sudden rise of
/// the load, fewer requests are answered than offered also below full load.
const MIN_CAPACITY_EXCESS: f64 = 1.25;
/// Load that the admitted requests are meant to cause: enough waiting requests to keep the slots of
/// all targets busy although daemons place requests independently.
const LOAD_SETPOINT: f64 = 2.7;
/// Relative increase of the admitted rate per unit of load below the setpoint.
const GAIN_BELOW: f64 = 0.2;
/// Relative decrease of the admitted rate per unit of load above the setpoint.
const GAIN_ABOVE: f64 = 0.15;
/// Requests in flight per slot below which some slots are idle, whatever the targets report.
const MIN_IN_FLIGHT: f64 = 0.95;
/// Largest factor by which requests in flight are extrapolated.
const MAX_EXTRAPOLATION: f64 = 4.0;
/// Share of the mean admitted share that every rank keeps; above the required quarter, so that the
/// quarter is kept despite late levels.
const FLOOR_RATIO: f64 = 0.26;

/// Which ranks of a service are admitted, and with which share.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdmissionLevel {
    /// The only rank that is admitted in part; more urgent ones are admitted.
    pub marginal_rank: u32,
    /// Share of the requests of the marginal rank that is admitted.
    pub marginal_share: f64,
    /// Share of the requests of less urgent ranks that is admitted.
    pub floor_share: f64,
}

impl AdmissionLevel {
    /// Returns the share of the requests of `rank` that is admitted.
    pub fn share(&self, rank: u32) -> f64 {
        match rank.cmp(&self.marginal_rank) {
            std::cmp::Ordering::Less => 1.0,
            std::cmp::Ordering::Equal => self.marginal_share,
            std::cmp::Ordering::Greater => self.floor_share,
        }
    }

    /// Returns whether all shares are from 0 to 1.
    pub fn is_valid(&self) -> bool {
        let is_share = |s: f64| (0.0..=1.0).contains(&s);
        is_share(self.marginal_share) && is_share(self.floor_share)
    }
}

/// Derives the level of a service from the sums over those of the `fleet` daemons that report;
/// `None` admits all requests.
///
/// The load is what targets report, or what the daemons have in flight there if that is less, since
/// idle targets report nothing. Requests in flight at the other daemons are extrapolated. A service
/// that had a level (`was_full`) keeps one until the rate admits all requests.
///
/// The rate of answers of a service whose slots are all busy is its capacity. The admitted rate is
/// that capacity, corrected in proportion to the distance of the load from its setpoint.
pub fn derive_level(sums: &ServiceLoad, fleet: usize, was_full: bool) -> Option<AdmissionLevel> {
    let missing = (fleet as f64 / f64::from(sums.daemons)).clamp(1.0, MAX_EXTRAPOLATION);
    let in_flight = missing * sums.in_flight / f64::from(sums.slots.max(1));
    let load = sums.mean_load()?.min(in_flight);
    let is_busy = in_flight >= MIN_IN_FLIGHT;
    let offered: f64 = sums.offered.iter().map(|(_, rate)| rate).sum();
    let capacity = sums.capacity_per_s();
    let exceeds = offered >= MIN_EXCESS * sums.answered_per_s
        && capacity.is_some_and(|capacity| offered >= MIN_CAPACITY_EXCESS * capacity);
    let min_load = if exceeds || was_full {
        MIN_EXCESS_LOAD
    } else {
        MIN_LOAD
    };
    let is_full = is_busy && sums.slots > 0 && load >= min_load;
    if !is_full || sums.offered.len() < 2 {
        return None;
    }
    let distance = LOAD_SETPOINT - load;
    let gain = if distance < 0.0 {
        GAIN_ABOVE
    } else {
        GAIN_BELOW
    };
    // Right after the load rose, the rate of answers is still the one before.
    let least = capacity.filter(|_| distance > 0.0).unwrap_or(0.0);
    let rate = sums.answered_per_s.max(least) * (1.0 + gain * distance);
    if rate >= offered {
        return None;
    }
    let floor_share = FLOOR_RATIO * rate / offered;
    // Every rank gets the floor; what is left of the rate goes to the ranks in order of urgency.
    let mut left = rate - floor_share * offered;
    for (rank, rank_rate) in &sums.offered {
        let above_floor = rank_rate * (1.0 - floor_share);
        if left < above_floor {
            return Some(AdmissionLevel {
                marginal_rank: *rank,
                marginal_share: (floor_share + left / rank_rate).clamp(floor_share, 1.0),
                floor_share,
            });
        }
        left -= above_floor;
    }
    None
}
