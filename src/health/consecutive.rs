//! The baseline detector: a target is out for a time after failures in a row.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{Assessment, Detector, Observation, ServiceId, TargetHealth, TargetId, WorkResult};

/// Failures in a row that eject a target.
const FAILURES: u32 = 5;
/// Time for which a target stays out.
const EJECTION: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Record {
    failures: u32,
    out_until: Option<BootTime>,
}

/// Ejects a target for 30 s after 5 failures in a row.
#[derive(Default)]
pub struct ConsecutiveFailureDetector {
    records: FxHashMap<TargetId, Record>,
}

impl Detector for ConsecutiveFailureDetector {
    fn add_target(&mut self, _: TargetId, _: ServiceId) {}

    fn observe(&mut self, target: TargetId, obs: &Observation, now: BootTime) -> Assessment {
        let record = self.records.entry(target).or_default();
        match obs.result {
            WorkResult::Success | WorkResult::Shed => record.failures = 0,
            WorkResult::Overdue | WorkResult::Silent => {}
            WorkResult::ServerError | WorkResult::Lost | WorkResult::Timeout => {
                record.failures += 1;
            }
        }
        if record.failures < FAILURES {
            return Assessment::default();
        }
        record.failures = 0;
        record.out_until = Some(now + EJECTION);
        Assessment {
            changed: true,
            nats_against: 0.0,
        }
    }

    fn health(&self, target: TargetId, now: BootTime) -> TargetHealth {
        let out_until = self.records.get(&target).and_then(|r| r.out_until);
        let out = out_until.is_some_and(|until| until > now);
        TargetHealth {
            suspicion: f64::from(u8::from(out)),
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

    fn needs_probe(&self, _: TargetId, _: BootTime) -> bool {
        false
    }

    fn record_probe(&mut self, _: TargetId, _: bool, _: BootTime) -> bool {
        false
    }

    fn remove_target(&mut self, target: TargetId, _: BootTime) {
        self.records.remove(&target);
    }
}
