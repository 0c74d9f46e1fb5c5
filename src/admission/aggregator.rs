//! Sums of the reports of a data centre and of the fleet.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{derive_level, LevelMessage, LoadReport, ServiceLevel, MAX_SERVICES};

/// Age from which a report no longer counts: two polls of the reader and the timeout of one.
const REPORT_TTL: Duration = Duration::from_millis(1650);
/// Age at which a report weighs half of a new one, so that sums follow a sudden overload before
/// every daemon has reported it.
const WEIGHT_HALF_LIFE: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Received {
    report: LoadReport,
    at: BootTime,
}

/// Sums the reports of the daemons of one data centre, and of the other data centres.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    daemons: FxHashMap<Rc<str>, Received>,
    centres: FxHashMap<Rc<str>, Received>,
    /// Services that had a level when the levels were last derived.
    full: Vec<String>,
}

impl LoadAggregator {
    /// Replaces the report of a daemon of the data centre. An invalid one is dropped.
    pub fn apply_daemon(&mut self, host: &str, report: LoadReport, now: BootTime) {
        apply(&mut self.daemons, host, report, now);
    }

    /// Replaces the sums of another data centre. Invalid ones are dropped.
    pub fn apply_centre(&mut self, centre: &str, report: LoadReport, now: BootTime) {
        apply(&mut self.centres, centre, report, now);
    }

    /// Returns whether no report was received, or all were discarded since.
    pub fn is_empty(&self) -> bool {
        self.daemons.is_empty() && self.centres.is_empty()
    }

    /// Returns the sums of the data centre, in which `own` is this daemon's report.
    pub fn centre_sums(&mut self, own: &LoadReport, now: BootTime) -> LoadReport {
        discard_old(&mut self.daemons, now);
        let reports = self.daemons.values().map(|r| (&r.report, weight(r, now)));
        sum_weighted(reports.chain([(own, 1.0)]))
    }

    /// Returns the sums of the fleet, as far as reports were received.
    pub fn fleet_sums(&mut self, own: &LoadReport, now: BootTime) -> LoadReport {
        discard_old(&mut self.centres, now);
        let local = self.centre_sums(own, now);
        let centres = self.centres.values().map(|r| (&r.report, 1.0));
        sum_weighted(centres.chain([(&local, 1.0)]))
    }

    /// Returns the levels of the services that do not admit all requests.
    /// `fleet` is the number of daemons of the fleet.
    pub fn levels(&mut self, own: &LoadReport, fleet: usize, now: BootTime) -> LevelMessage {
        let sums = self.fleet_sums(own, now);
        let level = |load| {
            Some((
                load,
                derive_level(load, fleet, self.full.contains(&load.service))?,
            ))
        };
        let levels = sums.services.iter().filter_map(level);
        let levels = levels.map(|(load, level)| ServiceLevel {
            service: load.service.clone(),
            level,
        });
        let levels: Vec<ServiceLevel> = levels.collect();
        self.full = levels.iter().map(|l| l.service.clone()).collect();
        LevelMessage { levels }
    }
}

/// Returns the weight of a report, which halves every [`WEIGHT_HALF_LIFE`].
fn weight(received: &Received, now: BootTime) -> f64 {
    let age = now.since(received.at).as_secs_f64();
    (-age / WEIGHT_HALF_LIFE.as_secs_f64()).exp2()
}

fn apply(
    reports: &mut FxHashMap<Rc<str>, Received>,
    name: &str,
    report: LoadReport,
    now: BootTime,
) {
    if report.is_valid() {
        reports.insert(Rc::from(name), Received { report, at: now });
    }
}

fn discard_old(reports: &mut FxHashMap<Rc<str>, Received>, now: BootTime) {
    reports.retain(|_, r| now.since(r.at) <= REPORT_TTL);
}

/// Sums reports; each report of a service counts for as much as its weight says, but the sums are
/// those of all daemons.
fn sum_weighted<'a>(reports: impl Iterator<Item = (&'a LoadReport, f64)>) -> LoadReport {
    let mut sums = LoadReport::default();
    let mut weights: Vec<(f64, f64)> = Vec::new();
    for (report, weight) in reports {
        for load in &report.services {
            let mut load = load.clone();
            load.scale(weight);
            match sums.services.iter().position(|s| s.service == load.service) {
                Some(i) => {
                    sums.services[i].add(&load);
                    weights[i].0 += 1.0;
                    weights[i].1 += weight;
                }
                None => {
                    sums.services.push(load);
                    weights.push((1.0, weight));
                }
            }
        }
    }
    for (load, (reports, weight)) in sums.services.iter_mut().zip(weights) {
        load.scale(reports / weight.max(f64::MIN_POSITIVE));
    }
    sums.services
        .sort_by(|a, b| b.answered_per_s.total_cmp(&a.answered_per_s));
    sums.services.truncate(MAX_SERVICES);
    sums
}
