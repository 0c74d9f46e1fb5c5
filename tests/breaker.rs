//! The circuit breaker of one target, and the choice among targets whose breakers are open.

use std::time::Duration;

use chervillug::{clock::BootTime, health::Breaker};

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
}

struct Case {
    name: &'static str,
    /// Times of failures, ms.
    failures: &'static [u64],
    /// Last moment at which the breaker is open, ms.
    open_until: u64,
}

const CASES: [Case; 5] = [
    Case {
        name: "one failure",
        failures: &[0],
        open_until: 1999,
    },
    Case {
        name: "failures of the same moment count as one",
        failures: &[0, 5, 10],
        open_until: 2009,
    },
    Case {
        name: "a failure behind the first hold doubles it",
        failures: &[0, 2500],
        open_until: 6499,
    },
    Case {
        name: "the longest hold",
        failures: &[0, 2500, 7000, 14000, 21000],
        open_until: 26999,
    },
    Case {
        name: "failures long ago are forgotten",
        failures: &[0, 2500, 20000],
        open_until: 21999,
    },
];

#[test]
fn breaker_is_open_for_the_hold_of_its_failures() {
    for case in &CASES {
        let mut breaker = Breaker::default();
        assert!(!breaker.is_open(at(0)), "{}", case.name);
        for ms in case.failures {
            breaker.fail(at(*ms));
        }
        assert!(breaker.is_open(at(case.open_until)), "{}", case.name);
        assert!(!breaker.is_open(at(case.open_until + 1)), "{}", case.name);
    }
}
