//! Demand and load of services as seen by one daemon.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::{clock::BootTime, health::DecayingSum};

use super::{level::MAX_LOAD, messages::merge_excess_ranks, LoadReport, ServiceLoad, MAX_SERVICES};

/// Half-life of the offered requests. The sum over the fleet is exact enough, and a longer one
/// delays the detection of an overload.
const OFFERED_HALF_LIFE: Duration = Duration::from_millis(120);
/// Half-life of the answers. At 150 ms the admitted rate follows random changes of the load.
const ANSWERED_HALF_LIFE: Duration = Duration::from_millis(250);
/// Half-life of the reported loads, which rise within tenths of a second in an overload.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(120);
/// Half-life of the times that targets without waiting requests take, which are only measured
/// below full load but used above it.
const WORK_HALF_LIFE: Duration = Duration::from_secs(10);
/// Multiple of the mean above which a time is left out, as the request probably had to wait before
/// the target reported that none does.
const MAX_WORK_FACTOR: f64 = 1.3;
/// Weight of the measured times below which they are too old to be reported.
const MIN_WORK_SAMPLES: f64 = 0.01;
/// Reported load below which a service is left out of reports.
const MIN_REPORTED_LOAD: f64 = 0.5;
/// Weight of recent answers below which their load is not reported.
const MIN_ANSWERS: f64 = 0.5;
/// Offered requests, 1/s, below which a rank is left out: a single request counts for two seconds.
const MIN_OFFERED_PER_S: f64 = 0.01;
/// Maximum number of services that are tracked.
const MAX_TRACKED_SERVICES: usize = 8192;
/// Ranks of one service that are tracked; further ones are counted as the least urgent of them.
const MAX_TRACKED_RANKS: usize = 64;

#[derive(Default)]
struct ServiceRecord {
    offered: BTreeMap<u32, DecayingSum>,
    answered: DecayingSum,
    load_samples: DecayingSum,
    load: DecayingSum,
    work_samples: DecayingSum,
    work_s: DecayingSum,
    in_flight: u32,
    slots: u32,
}

/// Records demand and load of the services, and reports the busy ones.
#[derive(Default)]
pub struct LoadRecorder {
    services: FxHashMap<Rc<str>, ServiceRecord>,
}

impl LoadRecorder {
    fn record(&mut self, service: &Rc<str>) -> Option<&mut ServiceRecord> {
        if !self.services.contains_key(service) && self.services.len() >= MAX_TRACKED_SERVICES {
            return None;
        }
        Some(self.services.entry(service.clone()).or_default())
    }

    /// Records a request that is within its plan, whether or not it is admitted.
    pub fn record_offered(&mut self, service: &Rc<str>, rank: u32, now: BootTime) {
        let Some(record) = self.record(service) else {
            return;
        };
        if record.offered.len() >= MAX_TRACKED_RANKS {
            record
                .offered
                .retain(|_, sum| rate(sum, OFFERED_HALF_LIFE, now) >= MIN_OFFERED_PER_S);
        }
        let is_full = record.offered.len() >= MAX_TRACKED_RANKS;
        let last = record.offered.keys().next_back().copied();
        let rank = match last {
            Some(last) if is_full && !record.offered.contains_key(&rank) => last,
            _ => rank,
        };
        let sum = record.offered.entry(rank).or_default();
        sum.add(1.0, now, OFFERED_HALF_LIFE);
    }

    /// Records the begin of an admitted request.
    pub fn record_start(&mut self, service: &Rc<str>) {
        if let Some(record) = self.record(service) {
            record.in_flight += 1;
        }
    }

    /// Records the end of an admitted request.
    pub fn record_end(&mut self, service: &str) {
        if let Some(record) = self.services.get_mut(service) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// Records an answer of a target, with the time that it took and the load that the target
    /// reported.
    pub fn record_answer(
        &mut self,
        service: &Rc<str>,
        latency: Duration,
        load: Option<f64>,
        now: BootTime,
    ) {
        let Some(record) = self.record(service) else {
            return;
        };
        record.answered.add(1.0, now, ANSWERED_HALF_LIFE);
        if let Some(load) = load.filter(|load| load.is_finite() && *load >= 0.0) {
            record.load.add(load.min(MAX_LOAD), now, LOAD_HALF_LIFE);
            record.load_samples.add(1.0, now, LOAD_HALF_LIFE);
            let mean_s = record.mean_work_s(now).unwrap_or(f64::MAX);
            if load <= 1.0 && latency.as_secs_f64() <= MAX_WORK_FACTOR * mean_s {
                record
                    .work_s
                    .add(latency.as_secs_f64(), now, WORK_HALF_LIFE);
                record.work_samples.add(1.0, now, WORK_HALF_LIFE);
            }
        }
    }

    /// Replaces the slots of all services.
    pub fn set_slots<'a>(&mut self, slots: impl Iterator<Item = (&'a str, u32)>) {
        for record in self.services.values_mut() {
            record.slots = 0;
        }
        for (service, slots) in slots {
            if let Some(record) = self.record(&Rc::from(service)) {
                record.slots = record.slots.saturating_add(slots);
            }
        }
    }

    /// Returns the demand and load of the services that are busy.
    pub fn report(&self, now: BootTime) -> LoadReport {
        let loads = self.services.iter().map(|(name, r)| r.report(name, now));
        let mut services: Vec<ServiceLoad> = loads.filter(is_reported).collect();
        services.sort_by(|a, b| b.load_sum.total_cmp(&a.load_sum));
        services.truncate(MAX_SERVICES);
        LoadReport { services }
    }
}

impl ServiceRecord {
    /// Returns the mean of the recently reported loads; `None` if there are too few.
    fn mean_load(&self, now: BootTime) -> Option<f64> {
        let samples = self.load_samples.get(now, LOAD_HALF_LIFE);
        (samples >= MIN_ANSWERS).then(|| self.load.get(now, LOAD_HALF_LIFE) / samples)
    }

    /// Returns the mean time that targets without waiting requests took; `None` if it was measured
    /// too long ago.
    fn mean_work_s(&self, now: BootTime) -> Option<f64> {
        let samples = self.work_samples.get(now, WORK_HALF_LIFE);
        (samples >= MIN_WORK_SAMPLES).then(|| self.work_s.get(now, WORK_HALF_LIFE) / samples)
    }

    fn report(&self, service: &str, now: BootTime) -> ServiceLoad {
        let rates = self
            .offered
            .iter()
            .map(|(k, v)| (*k, rate(v, OFFERED_HALF_LIFE, now)));
        let mut offered: Vec<(u32, f64)> = rates.filter(|(_, n)| *n >= MIN_OFFERED_PER_S).collect();
        merge_excess_ranks(&mut offered);
        let load = self.mean_load(now);
        let work_s = self.mean_work_s(now);
        ServiceLoad {
            service: service.to_owned(),
            offered,
            answered_per_s: rate(&self.answered, ANSWERED_HALF_LIFE, now),
            load_sum: load.unwrap_or(0.0),
            daemons: u32::from(load.is_some()),
            work_sum_s: work_s.unwrap_or(0.0),
            timed: u32::from(work_s.is_some()),
            in_flight: f64::from(self.in_flight),
            slots: self.slots,
        }
    }
}

/// Returns the rate of the recently counted events, in 1/s.
fn rate(sum: &DecayingSum, half_life: Duration, now: BootTime) -> f64 {
    sum.get(now, half_life) * std::f64::consts::LN_2 / half_life.as_secs_f64()
}

/// Returns whether a service is reported. One without recent answers is reported while it has
/// requests in flight, as others may know its load.
fn is_reported(load: &ServiceLoad) -> bool {
    load.load_sum >= MIN_REPORTED_LOAD || (load.daemons == 0 && load.in_flight > 0.0)
}
