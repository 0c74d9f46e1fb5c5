//! The baseline detector that looks at probes only.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{Assessment, Detector, Observation, ServiceId, TargetHealth, TargetId};

/// Time between two probes of a target.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Failed probes in a row that eject a target.
const FAILURES: u32 = 3;

#[derive(Default)]
struct Record {
    failures: u32,
    probed_at: BootTime,
}

/// Ejects a target after 3 failed probes in a row, until a probe succeeds.
#[derive(Default)]
pub struct ProbeOnlyDetector {
    records: FxHashMap<TargetId, Record>,
}

impl Detector for ProbeOnlyDetector {
    fn add_target(&mut self, target: TargetId, _: ServiceId) {
        self.records.insert(target, Record::default());
    }

    fn observe(&mut self, _: TargetId, _: &Observation, _: BootTime) -> Assessment {
        Assessment::default()
    }

    fn health(&self, target: TargetId, _: BootTime) -> TargetHealth {
        let failures = self.records.get(&target).map_or(0, |r| r.failures);
        TargetHealth {
            suspicion: f64::from(u8::from(failures >= FAILURES)),
            on_trial: false,
        }
    }

    fn overdue_after(&self, _: TargetId, _: BootTime) -> Option<Duration> {
        None
    }

    fn local_evidence(&self, _: TargetId, _: BootTime) -> f64 {
        0.0
    }

    fn apply_fleet_alarm(&mut self, _: TargetId, _: BootTime) -> bool {
        false
    }

    fn needs_probe(&self, target: TargetId, now: BootTime) -> bool {
        let record = self.records.get(&target);
        record.is_some_and(|r| now.since(r.probed_at) >= PROBE_INTERVAL)
    }

    fn record_probe(&mut self, target: TargetId, healthy: bool, now: BootTime) -> bool {
        let Some(record) = self.records.get_mut(&target) else {
            return false;
        };
        record.probed_at = now;
        let was_out = record.failures >= FAILURES;
        record.failures = if healthy { 0 } else { record.failures + 1 };
        was_out != (record.failures >= FAILURES)
    }

    fn remove_target(&mut self, target: TargetId, _: BootTime) {
        self.records.remove(&target);
    }
}
