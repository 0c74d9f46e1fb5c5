//! Messages between daemons about load and admission levels.

use serde::{Deserialize, Serialize};

use super::AdmissionLevel;

/// Maximum number of services in one message; the most loaded ones are reported.
pub const MAX_SERVICES: usize = 16;
/// Maximum number of ranks of one service in a message. Less urgent ranks are counted together.
pub const MAX_RANKS: usize = 16;

/// Demand and load of one service, as seen by one daemon or summed over several.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Requests offered, 1/s, by rank in ascending order.
    pub offered: Vec<(u32, f64)>,
    /// Requests answered by targets, 1/s.
    pub answered_per_s: f64,
    /// Sum over daemons of the mean load that targets reported, as a share of their slots.
    pub load_sum: f64,
    /// Number of daemons in `load_sum`.
    pub daemons: u32,
    /// Sum over daemons of the mean time in seconds that targets without waiting requests took.
    pub work_sum_s: f64,
    /// Number of daemons in `work_sum_s`.
    pub timed: u32,
    /// Requests in flight.
    pub in_flight: f64,
    /// Slots of all targets of the service.
    pub slots: u32,
}

impl ServiceLoad {
    /// Adds the values of another daemon or data centre.
    pub fn add(&mut self, other: &Self) {
        for (rank, rate) in &other.offered {
            match self.offered.binary_search_by_key(rank, |(r, _)| *r) {
                Ok(i) => self.offered[i].1 += rate,
                Err(i) => self.offered.insert(i, (*rank, *rate)),
            }
        }
        merge_excess_ranks(&mut self.offered);
        self.answered_per_s += other.answered_per_s;
        self.load_sum += other.load_sum;
        self.daemons = self.daemons.saturating_add(other.daemons);
        self.work_sum_s += other.work_sum_s;
        self.timed = self.timed.saturating_add(other.timed);
        self.in_flight += other.in_flight;
        self.slots = self.slots.max(other.slots);
    }

    /// Multiplies the rates, loads and requests in flight by `factor`.
    pub fn scale(&mut self, factor: f64) {
        for (_, rate) in &mut self.offered {
            *rate *= factor;
        }
        self.answered_per_s *= factor;
        self.load_sum *= factor;
        self.work_sum_s *= factor;
        self.in_flight *= factor;
    }

    /// Returns the mean reported load; `None` without a report.
    pub fn mean_load(&self) -> Option<f64> {
        (self.daemons > 0).then(|| self.load_sum / f64::from(self.daemons))
    }

    /// Returns the rate of requests that keeps all slots busy, 1/s; `None` if no target without
    /// waiting requests has answered recently. Targets that slow down under load serve fewer.
    pub fn capacity_per_s(&self) -> Option<f64> {
        let is_known = self.timed > 0 && self.work_sum_s > 0.0;
        is_known.then(|| f64::from(self.slots) * f64::from(self.timed) / self.work_sum_s)
    }

    /// Returns whether all numbers can be used.
    pub fn is_valid(&self) -> bool {
        let is_valid = |n: f64| n.is_finite() && n >= 0.0;
        let ascends = self.offered.windows(2).all(|w| w[0].0 < w[1].0);
        let offered_valid = self.offered.iter().all(|(_, rate)| is_valid(*rate));
        let others = [
            self.answered_per_s,
            self.load_sum,
            self.work_sum_s,
            self.in_flight,
        ];
        let others_valid = others.into_iter().all(is_valid);
        ascends && offered_valid && others_valid && self.offered.len() <= MAX_RANKS
    }
}

/// Counts the least urgent ranks together so that at most [`MAX_RANKS`] are left.
pub(super) fn merge_excess_ranks(offered: &mut Vec<(u32, f64)>) {
    let excess = offered.split_off(offered.len().min(MAX_RANKS));
    if let Some(last) = offered.last_mut() {
        last.1 += excess.iter().map(|(_, rate)| rate).sum::<f64>();
    }
}

/// Demand and load of the busy services of one daemon or data centre.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The services, at most [`MAX_SERVICES`].
    pub services: Vec<ServiceLoad>,
}

impl LoadReport {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceLoad> {
        self.services.iter().find(|s| s.service == name)
    }

    /// Returns whether the report is within its bounds and all numbers can be used.
    pub fn is_valid(&self) -> bool {
        self.services.len() <= MAX_SERVICES && self.services.iter().all(ServiceLoad::is_valid)
    }
}

/// The admission level of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLevel {
    /// Name of the service.
    pub service: String,
    /// Its level.
    pub level: AdmissionLevel,
}

/// The levels of all services that do not admit all requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LevelMessage {
    /// The levels.
    pub levels: Vec<ServiceLevel>,
}

/// The sums of one data centre, exchanged by the readers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CentreReport {
    /// Name of the data centre.
    pub data_centre: String,
    /// Its sums, empty if no service is busy.
    pub sums: LoadReport,
}

/// A message of a reader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AdmissionMessage {
    /// The sums of its data centre, for the reader of another one.
    Sums(CentreReport),
    /// The levels, for a daemon of its data centre.
    Levels(LevelMessage),
}

/// The reply to an [`AdmissionMessage`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AdmissionReply {
    /// The sums of the responding reader's data centre.
    Sums(CentreReport),
    /// The load of the responding daemon.
    Load(LoadReport),
}
