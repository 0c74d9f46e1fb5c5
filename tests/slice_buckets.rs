//! Checks the rate of a workspace over all slices against that of a single bucket for the whole
//! fleet.

use std::time::Duration;

use chervillug::{
    catalog::Plan,
    clock::BootTime,
    quota::{SliceBuckets, SliceShare},
};
use quickcheck::{quickcheck, TestResult};

/// Window of the operator's bound, s.
const WINDOW_S: u64 = 5;
/// Requests above rate and burst that the operator tolerates.
const SLACK: f64 = 20.0;

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(1_000_000 + ms))
}

/// Requests a token from the slices at each of `times` and returns the times at which one was
/// granted; all holders are replaced at `takeover`.
fn grant_times(plan: &Plan, slices: u32, times: &[u64], takeover: u64) -> Vec<u64> {
    let share = SliceShare {
        slices,
        slack: SLACK,
    };
    let mut buckets: Vec<SliceBuckets> = (0..slices)
        .map(|_| SliceBuckets::new(share, at(0), true))
        .collect();
    let mut granted = Vec::new();
    let mut replaced = false;
    for ms in times {
        if *ms >= takeover && !replaced {
            replaced = true;
            let fresh = (0..slices).map(|_| SliceBuckets::new(share, at(*ms), false));
            buckets = fresh.collect();
        }
        let is_granted = buckets
            .iter_mut()
            .any(|b| b.take("w", plan, at(*ms)).is_ok());
        if is_granted {
            granted.push(*ms);
        }
    }
    granted
}

fn max_in_window(granted: &[u64]) -> usize {
    let window_ms = WINDOW_S * 1000;
    let in_window = |from: u64| {
        granted
            .iter()
            .filter(move |t| (from..from + window_ms).contains(t))
    };
    granted
        .iter()
        .map(|from| in_window(*from).count())
        .max()
        .unwrap_or(0)
}

#[test]
fn no_window_exceeds_the_tolerated_rate() {
    fn holds(rate: u8, burst: u8, slices: u8, gaps: Vec<u8>, takeover: u16) -> TestResult {
        if rate == 0 || gaps.is_empty() {
            return TestResult::discard();
        }
        let plan = Plan {
            plan: "w".to_owned(),
            rate_per_s: f64::from(rate),
            burst: u32::from(burst),
        };
        let mut now = 0;
        let mut times = Vec::new();
        for _ in 0..40 {
            for gap in &gaps {
                now += u64::from(*gap);
                times.push(now);
            }
        }
        let slices = u32::from(slices % 4 + 1);
        let granted = grant_times(&plan, slices, &times, u64::from(takeover));
        let allowed = (f64::from(rate) * WINDOW_S as f64 + f64::from(burst)) * 1.1 + SLACK;
        TestResult::from_bool(max_in_window(&granted) as f64 <= allowed)
    }
    quickcheck(holds as fn(u8, u8, u8, Vec<u8>, u16) -> TestResult);
}

struct Case {
    name: &'static str,
    rate_per_s: f64,
    burst: u32,
    slices: u32,
    /// Requests per second that the workspace sends, evenly spaced.
    requests_per_s: u64,
    /// Minimum share of requests that is granted.
    min_granted: f64,
}

const CASES: [Case; 3] = [
    Case {
        name: "within its rate",
        rate_per_s: 8.0,
        burst: 8,
        slices: 3,
        requests_per_s: 5,
        min_granted: 1.0,
    },
    Case {
        name: "small burst over many slices",
        rate_per_s: 2.0,
        burst: 1,
        slices: 4,
        requests_per_s: 2,
        min_granted: 0.98,
    },
    Case {
        name: "twice its rate",
        rate_per_s: 50.0,
        burst: 50,
        slices: 3,
        requests_per_s: 100,
        min_granted: 0.5,
    },
];

#[test]
fn requests_within_the_rate_are_granted() {
    for case in &CASES {
        let plan = Plan {
            plan: "w".to_owned(),
            rate_per_s: case.rate_per_s,
            burst: case.burst,
        };
        let gap = 1000 / case.requests_per_s;
        let times: Vec<u64> = (0..30_000 / gap).map(|i| i * gap).collect();
        let granted = grant_times(&plan, case.slices, &times, u64::MAX);
        let share = granted.len() as f64 / times.len() as f64;
        assert!(share >= case.min_granted, "{}: {share}", case.name);
    }
}
