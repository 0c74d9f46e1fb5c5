//! The buckets of all slices and portions against one naive bucket, on random schedules.

use std::{rc::Rc, time::Duration};

use chervillug::{
    catalog::Plan,
    clock::BootTime,
    lease::{
        retained_portions, transferable_portions, LeasePhase, Portion, SliceId,
        SLICES_PER_PARTITION,
    },
    limit::{BucketLevels, OwnedSlices, TakeOutcome, TokenBucket},
};
use quickcheck::{quickcheck, TestResult};

/// Longest time between two requests, ms.
const MAX_GAP_MS: u64 = 40;

/// One request of a schedule: time since the one before, ms, and which owner is asked first.
type Request = (u16, u8);

struct Owners {
    all: Vec<(SliceId, OwnedSlices)>,
}

impl Owners {
    /// Makes owners of all slices; with `split`, two of each, as after a takeover.
    fn new(split: bool) -> Self {
        let whole = [Portion::WHOLE];
        let parts = if split {
            vec![retained_portions(&whole), transferable_portions(&whole)]
        } else {
            vec![whole.to_vec()]
        };
        let mut all = Vec::new();
        for index in 0..SLICES_PER_PARTITION {
            for part in &parts {
                let slice = SliceId {
                    partition: 0,
                    index,
                };
                let mut owned = OwnedSlices::default();
                owned.set_portions(slice, part, BucketLevels::full(), BootTime::default());
                all.push((slice, owned));
            }
        }
        Self { all }
    }

    fn admit(&mut self, first: u8, plan: &Plan, now: BootTime) -> bool {
        let workspace = Rc::from("parish");
        let count = self.all.len();
        (0..count).any(|i| {
            let (slice, owned) = &mut self.all[(usize::from(first) + i) % count];
            let taken = owned.take(*slice, &workspace, plan, LeasePhase::Full, now);
            matches!(taken, TakeOutcome::Granted(_))
        })
    }
}

fn plan(rate: u16, burst: u8) -> Plan {
    Plan {
        plan: "small".into(),
        rate_per_s: f64::from(rate % 20) + 0.5,
        burst: u32::from(burst % 24),
    }
}

/// Returns the times of the requests.
fn times(requests: &[Request]) -> Vec<BootTime> {
    let mut now = BootTime::default();
    let gaps = requests.iter().map(|(gap, _)| u64::from(*gap) % MAX_GAP_MS);
    gaps.map(|gap| {
        now = now + Duration::from_millis(gap);
        now
    })
    .collect()
}

/// Every prefix of what the owners admit fits one bucket that begins full, so that every
/// interval does.
fn within_one_bucket(rate: u16, burst: u8, split: bool, requests: Vec<Request>) -> bool {
    let plan = plan(rate, burst);
    let burst = f64::from(plan.burst) + 1e-6;
    let mut owners = Owners::new(split);
    let mut naive = TokenBucket::new(plan.rate_per_s, burst, burst, BootTime::default());
    times(&requests)
        .into_iter()
        .zip(&requests)
        .filter(|(now, (_, first))| owners.admit(*first, &plan, *now))
        .all(|(now, _)| naive.take(now).is_ok())
}

/// Requests that one bucket with half of the rate and a quarter of the burst admits are all
/// admitted by the owners, for bursts of at least 12.
fn half_of_the_plan_is_admitted(rate: u16, burst: u8, requests: Vec<Request>) -> TestResult {
    let plan = plan(rate, burst);
    if plan.burst < 12 || plan.rate_per_s > f64::from(plan.burst) {
        return TestResult::discard();
    }
    let mut owners = Owners::new(false);
    let quarter = f64::from(plan.burst) / 4.0;
    let start = BootTime::default();
    let mut naive = TokenBucket::new(plan.rate_per_s / 2.0, quarter, quarter, start);
    let admitted = times(&requests)
        .into_iter()
        .zip(&requests)
        .filter(|(now, _)| naive.take(*now).is_ok())
        .all(|(now, (_, first))| owners.admit(*first, &plan, now));
    TestResult::from_bool(admitted)
}

quickcheck! {
    fn owners_admit_no_more_than_one_bucket(
        rate: u16, burst: u8, split: bool, requests: Vec<Request>
    ) -> bool {
        within_one_bucket(rate, burst, split, requests)
    }

    fn owners_admit_all_of_half_the_plan(
        rate: u16, burst: u8, requests: Vec<Request>
    ) -> TestResult {
        half_of_the_plan_is_admitted(rate, burst, requests)
    }
}
