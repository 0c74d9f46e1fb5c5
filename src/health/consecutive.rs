//! The baseline detector: a target is out for a time after failures in a row.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{Detector, Observation, TargetId, WorkResult};

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
pub struct Consecutive {
    records: FxHashMap<TargetId, Record>,
}

impl Detector for Consecutive {
    fn observe(&mut self, target: TargetId, obs: &Observation, now: BootTime) {
        let record = self.records.entry(target).or_default();
        match obs.result {
            WorkResult::Success | WorkResult::Shed => record.failures = 0,
            WorkResult::ServerError | WorkResult::Lost | WorkResult::Timeout => {
                record.failures += 1;
            }
        }
        if record.failures >= FAILURES {
            record.failures = 0;
            record.out_until = Some(now + EJECTION);
        }
    }

    fn suspicion(&self, target: TargetId, now: BootTime) -> f64 {
        let out_until = self.records.get(&target).and_then(|r| r.out_until);
        out_until.map_or(0.0, |until| until.since(now).as_secs_f64().min(1.0).ceil())
    }

    fn forget(&mut self, target: TargetId) {
        self.records.remove(&target);
    }
}
