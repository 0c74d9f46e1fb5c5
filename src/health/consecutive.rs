//! The baseline detector: a target is out for a time after failures in a row.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{Detector, Judgement, Observation, ServiceId, Standing, TargetId, WorkResult};

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
    fn join(&mut self, _: TargetId, _: ServiceId) {}

    fn observe(&mut self, target: TargetId, obs: &Observation, now: BootTime) -> Judgement {
        let record = self.records.entry(target).or_default();
        match obs.result {
            WorkResult::Success | WorkResult::Shed => record.failures = 0,
            WorkResult::Overdue | WorkResult::Silent => {}
            WorkResult::ServerError | WorkResult::Lost | WorkResult::Timeout => {
                record.failures += 1;
            }
        }
        if record.failures < FAILURES {
            return Judgement::default();
        }
        record.failures = 0;
        record.out_until = Some(now + EJECTION);
        Judgement {
            changed: true,
            nats_against: 0.0,
        }
    }

    fn standing(&self, target: TargetId, now: BootTime) -> Standing {
        let out_until = self.records.get(&target).and_then(|r| r.out_until);
        let out = out_until.is_some_and(|until| until > now);
        Standing {
            suspicion: f64::from(u8::from(out)),
            on_trial: false,
        }
    }

    fn overdue_after(&self, _: TargetId, _: BootTime) -> Option<Duration> {
        None
    }

    fn own_evidence(&self, _: TargetId, _: BootTime) -> f64 {
        0.0
    }

    fn advise(&mut self, _: TargetId, _: BootTime) -> bool {
        false
    }

    fn wants_probe(&self, _: TargetId, _: BootTime) -> bool {
        false
    }

    fn probed(&mut self, _: TargetId, _: bool, _: BootTime) -> bool {
        false
    }

    fn forget(&mut self, target: TargetId, _: BootTime) {
        self.records.remove(&target);
    }
}
