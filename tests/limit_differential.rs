//! Differential tests of the buckets of all slices and portions against a single token bucket, on
//! random schedules.

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

/// Maximum time between two requests, ms.
const MAX_GAP_MS: u64 = 40;

/// One request of a schedule: time since the previous request, ms, and the owner that is tried
/// first.
type Request = (u16, u8);

struct Owners {
    owners: Vec<(SliceId, OwnedSlices)>,
}

impl Owners {
    /// Creates the owners of all slices; with `split`, two per slice, as after a takeover.
    fn new(split: bool) -> Self {
        let whole = [Portion::WHOLE];
        let parts = if split {
            vec![retained_portions(&whole), transferable_portions(&whole)]
        } else {
            vec![whole.to_vec()]
        };
        let mut owners = Vec::new();
        for index in 0..SLICES_PER_PARTITION {
            for part in &parts {
                let slice = SliceId {
                    partition: 0,
                    index,
                };
                let mut owned = OwnedSlices::default();
                owned.set_portions(slice, part, BucketLevels::full(), BootTime::default());
                owners.push((slice, owned));
            }
        }
        Self { owners }
    }

    fn admit(&mut self, first: u8, plan: &Plan, now: BootTime) -> bool {
        let workspace = Rc::from("parish");
        let count = self.owners.len();
        (0..count).any(|i| {
            let (slice, owned) = &mut self.owners[(usize::from(first) + i) % count];
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
fn request_times(requests: &[Request]) -> Vec<BootTime> {
    let mut now = BootTime::default();
    let gaps = requests.iter().map(|(gap, _)| u64::from(*gap) % MAX_GAP_MS);
    gaps.map(|gap| {
        now = now + Duration::from_millis(gap);
        now
    })
    .collect()
}

/// Checks that a single bucket that starts full admits all requests that the owners admit, so that
/// no interval exceeds the plan.
fn fits_single_bucket(rate: u16, burst: u8, split: bool, requests: Vec<Request>) -> bool {
    let plan = plan(rate, burst);
    let burst = f64::from(plan.burst) + 1e-6;
    let mut owners = Owners::new(split);
    let mut reference = TokenBucket::new(plan.rate_per_s, burst, burst, BootTime::default());
    request_times(&requests)
        .into_iter()
        .zip(&requests)
        .filter(|(now, (_, first))| owners.admit(*first, &plan, *now))
        .all(|(now, _)| reference.take(now).is_ok())
}

/// Checks that the owners admit all requests that a single bucket with half of the rate and a
/// quarter of the burst admits, for bursts of at least 12.
fn half_of_the_plan_is_admitted(rate: u16, burst: u8, requests: Vec<Request>) -> TestResult {
    let plan = plan(rate, burst);
    if plan.burst < 12 || plan.rate_per_s > f64::from(plan.burst) {
        return TestResult::discard();
    }
    let mut owners = Owners::new(false);
    let quarter = f64::from(plan.burst) / 4.0;
    let start = BootTime::default();
    let mut reference = TokenBucket::new(plan.rate_per_s / 2.0, quarter, quarter, start);
    let admitted = request_times(&requests)
        .into_iter()
        .zip(&requests)
        .filter(|(now, _)| reference.take(*now).is_ok())
        .all(|(now, (_, first))| owners.admit(*first, &plan, now));
    TestResult::from_bool(admitted)
}

quickcheck! {
    fn owners_admit_no_more_than_a_single_bucket(
        rate: u16, burst: u8, split: bool, requests: Vec<Request>
    ) -> bool {
        fits_single_bucket(rate, burst, split, requests)
    }

    fn owners_admit_all_requests_within_half_of_the_plan(
        rate: u16, burst: u8, requests: Vec<Request>
    ) -> TestResult {
        half_of_the_plan_is_admitted(rate, burst, requests)
    }
}
