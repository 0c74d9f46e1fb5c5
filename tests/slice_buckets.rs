//! The rates of a workspace over all slices, against the bound of one bucket for the fleet.

use std::time::Duration;

use chervillug::{
    catalog::Plan,
    clock::BootTime,
    quota::{SliceBuckets, SliceShare},
};
use quickcheck::{quickcheck, TestResult};

/// Window of the operator's bound, s.
const WINDOW_S: u64 = 5;
/// Requests above rate and burst that the operator allows.
const SLACK: f64 = 20.0;

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(1_000_000 + ms))
}

/// Asks all slices at each of `times`, with the holders replaced at `takeover`, and returns when
/// tokens were granted.
fn grants(plan: &Plan, slices: u32, times: &[u64], takeover: u64) -> Vec<u64> {
    let share = SliceShare {
        slices,
        slack: SLACK,
    };
    let mut all: Vec<SliceBuckets> = (0..slices)
        .map(|_| SliceBuckets::new(share, at(0), true))
        .collect();
    let mut granted = Vec::new();
    let mut replaced = false;
    for ms in times {
        if *ms >= takeover && !replaced {
            replaced = true;
            let fresh = (0..slices).map(|_| SliceBuckets::new(share, at(*ms), false));
            all = fresh.collect();
        }
        let given = all.iter_mut().any(|b| b.take("w", plan, at(*ms)).is_ok());
        if given {
            granted.push(*ms);
        }
    }
    granted
}

fn most_in_window(granted: &[u64]) -> usize {
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
fn no_window_gets_more_than_the_operator_allows() {
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
        let granted = grants(&plan, slices, &times, u64::from(takeover));
        let allowed = (f64::from(rate) * WINDOW_S as f64 + f64::from(burst)) * 1.1 + SLACK;
        TestResult::from_bool(most_in_window(&granted) as f64 <= allowed)
    }
    quickcheck(holds as fn(u8, u8, u8, Vec<u8>, u16) -> TestResult);
}

struct Case {
    name: &'static str,
    rate_per_s: f64,
    burst: u32,
    slices: u32,
    /// Requests a second that the workspace sends, evenly.
    asked_per_s: u64,
    /// Least share of them that is granted.
    granted: f64,
}

const CASES: [Case; 3] = [
    Case {
        name: "within its rate",
        rate_per_s: 8.0,
        burst: 8,
        slices: 3,
        asked_per_s: 5,
        granted: 1.0,
    },
    Case {
        name: "small burst over many slices",
        rate_per_s: 2.0,
        burst: 1,
        slices: 4,
        asked_per_s: 2,
        granted: 0.98,
    },
    Case {
        name: "twice its rate",
        rate_per_s: 50.0,
        burst: 50,
        slices: 3,
        asked_per_s: 100,
        granted: 0.5,
    },
];

#[test]
fn what_is_inside_the_rate_is_granted() {
    for case in &CASES {
        let plan = Plan {
            plan: "w".to_owned(),
            rate_per_s: case.rate_per_s,
            burst: case.burst,
        };
        let gap = 1000 / case.asked_per_s;
        let times: Vec<u64> = (0..30_000 / gap).map(|i| i * gap).collect();
        let granted = grants(&plan, case.slices, &times, u64::MAX);
        let share = granted.len() as f64 / times.len() as f64;
        assert!(share >= case.granted, "{}: {share}", case.name);
    }
}
