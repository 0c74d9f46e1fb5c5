//! Limits of cold targets: how daemons share them, and when a target counts as cold.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    health::{
        FleetShare, LendRequest, LimitNews, ServiceWarmup, TargetThrottle, WarmupState,
        WarmupTerms, WarmupTolerance,
    },
    peer::{decode, encode},
    platform,
};

/// The operator's tolerance of today's deployments.
const TOLERANCE: WarmupTolerance = WarmupTolerance {
    over: 1.5,
    slack: 8.0,
};
/// Rate of the simulated service.
const RATE_PER_S: f64 = 6.7;
/// Warm-up of the simulated service.
const WARMUP: Duration = Duration::from_secs(12);

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
}

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn terms(rate_per_s: f64, tolerance: WarmupTolerance) -> WarmupTerms {
    let duration = WARMUP;
    WarmupTerms::new(
        ServiceWarmup {
            duration,
            rate_per_s,
        },
        tolerance,
    )
}

/// Guards against a number of selected daemons that may send more than the operator's limit
/// together, with one more daemon than selected.
#[test]
fn selected_daemons_stay_below_the_limit_with_one_to_spare() {
    struct Case {
        rate_per_s: f64,
        over: f64,
        slack: f64,
        daemons: usize,
        shared_rate_per_s: f64,
    }
    let cases = [
        Case {
            rate_per_s: 6.7,
            over: 1.5,
            slack: 8.0,
            daemons: 10,
            shared_rate_per_s: 6.7,
        },
        Case {
            rate_per_s: 0.5,
            over: 1.5,
            slack: 8.0,
            daemons: 7,
            shared_rate_per_s: 0.5,
        },
        Case {
            rate_per_s: 100.0,
            over: 1.5,
            slack: 8.0,
            daemons: 56,
            shared_rate_per_s: 100.0,
        },
        Case {
            rate_per_s: 4.0,
            over: 1.0,
            slack: 2.0,
            daemons: 1,
            shared_rate_per_s: 3.99,
        },
        Case {
            rate_per_s: 1.0,
            over: 1.0,
            slack: 0.0,
            daemons: 1,
            shared_rate_per_s: 0.0,
        },
    ];
    for case in &cases {
        let tolerance = WarmupTolerance {
            over: case.over,
            slack: case.slack,
        };
        let terms = terms(case.rate_per_s, tolerance);
        assert_eq!(terms.daemons, case.daemons, "{} 1/s", case.rate_per_s);
        let difference = (terms.rate_per_s - case.shared_rate_per_s).abs();
        assert!(difference < 1e-6, "{terms:?}");
        let limit = tolerance.max_per_s(case.rate_per_s);
        let most = (terms.daemons + 1) as f64 + terms.rate_per_s;
        assert!(terms.rate_per_s == 0.0 || most < limit, "{terms:?}");
    }
}

/// Guards against a daemon that sends more than its part because it is restarted, selected again,
/// or does not know the members yet.
#[test]
fn part_of_a_daemon_begins_without_a_token() {
    let terms = terms(RATE_PER_S, TOLERANCE);
    let mut throttle = TargetThrottle::default();
    assert!(throttle.set_warmup(at(60_000), terms, at(0)));
    assert!(!throttle.set_warmup(at(60_000), terms, at(0)), "not new");
    throttle.set_warmup_share(FleetShare::UNKNOWN, at(0));
    assert!(!throttle.has_warmup_share(at(50_000)));
    assert!(!throttle.wait(at(50_000)).is_zero(), "members not known");
    let share = FleetShare {
        rank: 9,
        daemons: 119,
    };
    throttle.set_warmup_share(share, at(50_000));
    let first = throttle.wait(at(50_000));
    assert!(first > Duration::from_millis(1400), "{first:?}");
    assert!(throttle.wait(at(51_500)).is_zero());
    let not_selected = FleetShare {
        rank: 10,
        daemons: 119,
    };
    throttle.set_warmup_share(not_selected, at(51_500));
    assert!(
        !throttle.wait(at(51_500)).is_zero(),
        "not selected any more"
    );
    throttle.set_warmup_share(share, at(51_500));
    assert!(!throttle.wait(at(51_500)).is_zero(), "selected again");
    assert!(throttle.wait(at(60_000)).is_zero(), "not cold any more");
}

/// Guards against tokens that are lent by a daemon that does not know that the target is cold, or
/// that ignore one of two limits.
#[test]
fn token_of_a_cold_target_is_lent_only_if_all_limits_allow_it() {
    struct Case {
        name: &'static str,
        is_cold_here: bool,
        is_limited_here: bool,
        borrower_knows: bool,
        is_lent: bool,
    }
    let case = |name, is_cold_here, is_limited_here, borrower_knows, is_lent| Case {
        name,
        is_cold_here,
        is_limited_here,
        borrower_knows,
        is_lent,
    };
    let cases = [
        case("no limit", false, false, false, false),
        case("cold, known to both", true, false, true, true),
        case("cold, known here", true, false, false, true),
        case("cold, not known here", false, false, true, false),
        case(
            "cold, not known here, and limited",
            false,
            true,
            true,
            false,
        ),
        case("limited", false, true, false, true),
        case("cold and limited", true, true, true, true),
    ];
    for case in &cases {
        let mut throttle = TargetThrottle::default();
        if case.is_cold_here {
            throttle.set_warmup(at(60_000), terms(RATE_PER_S, TOLERANCE), at(0));
            throttle.set_warmup_share(FleetShare::ALONE, at(0));
        }
        if case.is_limited_here {
            throttle.apply_news(LimitNews::Named(5.0), FleetShare::ALONE, 0.0, at(0));
        }
        let lent = throttle.lend(case.borrower_knows, at(2000));
        assert_eq!(lent, case.is_lent, "{}", case.name);
        assert!(
            !throttle.lend(true, at(2000)),
            "{}: a second one",
            case.name
        );
    }
}

enum News {
    /// An entry of this version that states this time, s.
    Entry(u64, u64),
    /// A response to a probe that states this time, s.
    Probe(u64),
    /// The end of an evacuation, with its version.
    Return(Option<u64>),
}

/// Guards against targets that count as warm while they are cold, or as cold for good.
#[test]
fn target_counts_as_cold_until_its_own_newer_statement() {
    struct Case {
        name: &'static str,
        unverified: bool,
        /// Time of each news, ms.
        news: &'static [(u64, News)],
        /// End of the warm-up, ms.
        cold_until: Option<u64>,
    }
    let cases = [
        Case {
            name: "nothing known",
            unverified: false,
            news: &[],
            cold_until: None,
        },
        Case {
            name: "entry states a warm-up; the same entry read again adds nothing",
            unverified: false,
            news: &[(0, News::Entry(5, 10)), (4000, News::Entry(5, 10))],
            cold_until: Some(10_000),
        },
        Case {
            name: "entry written again at an older version, as after a rollback of the store",
            unverified: false,
            news: &[(0, News::Entry(5, 0)), (4000, News::Entry(3, 10))],
            cold_until: Some(14_000),
        },
        Case {
            name: "probe outlasts an entry",
            unverified: false,
            news: &[(0, News::Probe(8)), (1000, News::Entry(6, 0))],
            cold_until: Some(8000),
        },
        Case {
            name: "return from an evacuation",
            unverified: false,
            news: &[(0, News::Entry(5, 0)), (1000, News::Return(Some(7)))],
            cold_until: Some(13_000),
        },
        Case {
            name: "entry written before the return",
            unverified: false,
            news: &[(1000, News::Return(Some(7))), (2000, News::Entry(6, 0))],
            cold_until: Some(13_000),
        },
        Case {
            name: "entry written after the return, warm",
            unverified: false,
            news: &[(1000, News::Return(Some(7))), (2000, News::Entry(8, 0))],
            cold_until: None,
        },
        Case {
            name: "entry written after the return, cold for longer",
            unverified: false,
            news: &[(1000, News::Return(Some(7))), (2000, News::Entry(8, 20))],
            cold_until: Some(22_000),
        },
        Case {
            name: "return at an unknown version ends by time only",
            unverified: false,
            news: &[(1000, News::Return(None)), (2000, News::Entry(8, 0))],
            cold_until: Some(13_000),
        },
        Case {
            name: "probe does not end the doubt after a return",
            unverified: false,
            news: &[(1000, News::Return(Some(7))), (2000, News::Probe(0))],
            cold_until: Some(13_000),
        },
        Case {
            name: "first list after the start of the daemon",
            unverified: true,
            news: &[(0, News::Entry(5, 0)), (500, News::Entry(5, 0))],
            cold_until: Some(12_000),
        },
        Case {
            name: "verified by a probe",
            unverified: true,
            news: &[(0, News::Entry(5, 0)), (500, News::Probe(0))],
            cold_until: None,
        },
        Case {
            name: "found cold by a probe",
            unverified: true,
            news: &[(0, News::Entry(5, 0)), (500, News::Probe(30))],
            cold_until: Some(30_500),
        },
        Case {
            name: "verified by a second entry",
            unverified: true,
            news: &[(0, News::Entry(5, 0)), (500, News::Entry(6, 0))],
            cold_until: None,
        },
    ];
    for case in &cases {
        let mut state = WarmupState::default();
        if case.unverified {
            state = WarmupState::unverified(at(0));
        }
        for (ms, news) in case.news {
            match news {
                News::Entry(version, s) => {
                    state.record_entry((*version).into(), false, secs(*s), at(*ms));
                }
                News::Probe(s) => drop(state.record_probe(secs(*s), at(*ms))),
                News::Return(number) => state.record_return(number.map(Into::into), at(*ms)),
            }
        }
        let expected = case.cold_until.map(at);
        assert_eq!(state.cold_until(WARMUP), expected, "{}", case.name);
    }
}

/// Guards against messages that daemons of the previous build cannot decode where no target is cold,
/// and against theirs, which lack the new field.
#[test]
fn requests_for_tokens_of_other_limits_are_as_before() {
    #[derive(serde::Serialize, serde::Deserialize)]
    struct Earlier {
        target: String,
    }
    let target = || "t1".to_owned();
    let earlier = encode(&Earlier { target: target() }).expect("encoded");
    let request = LendRequest {
        target: target(),
        is_cold: false,
    };
    assert_eq!(encode(&request).as_ref(), Some(&earlier));
    assert_eq!(decode::<LendRequest>(&earlier), Some(request));
    let cold = LendRequest {
        target: target(),
        is_cold: true,
    };
    let encoded = encode(&cold).expect("encoded");
    assert_eq!(decode::<LendRequest>(&encoded), Some(cold));
}

/// Guards against configurations that set a limit that the operator did not ask for, or none.
#[test]
fn limits_are_read_from_the_configuration_and_entries() {
    let config = |fields: &str| {
        let text = format!(
            r#"{{"version": "01", "routes": {{}}, "services": {{"one": {{"healthPath": "/h"{fields}}}}}}}"#
        );
        let config = platform::decode_configuration(text.as_bytes()).expect("valid");
        config.services[0].warmup
    };
    let limit = ServiceWarmup {
        duration: Duration::from_secs(20),
        rate_per_s: 6.7,
    };
    assert_eq!(config(r#", "warmupS": 20, "warmupPerS": 6.7"#), Some(limit));
    for fields in [
        "",
        r#", "warmupS": 20"#,
        r#", "warmupPerS": 6.7"#,
        r#", "warmupS": 0, "warmupPerS": 6.7"#,
        r#", "warmupS": -1, "warmupPerS": 6.7"#,
    ] {
        assert_eq!(config(fields), None, "{fields}");
    }
    assert!(config(r#", "warmupS": 1e300, "warmupPerS": 1"#).is_some());
    let left = |text: &str| platform::decode_entry_warmup(text.as_bytes());
    assert_eq!(left(r#"{"warmupLeftS": 2.5}"#), Duration::from_millis(2500));
    for text in [r#"{"warmupLeftS": -1}"#, "{}", "x"] {
        assert_eq!(left(text), Duration::ZERO, "{text}");
    }
    assert_eq!(left(r#"{"warmupLeftS": 1e300}"#), Duration::MAX);
}
