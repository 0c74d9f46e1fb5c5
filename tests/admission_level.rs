//! Levels, their sums and their application to single requests, without a network.

use std::{rc::Rc, time::Duration};

use chervillug::{
    admission::{
        derive_level, AdmissionGate, AdmissionLevel, GateDecision, LevelMessage, LoadAggregator,
        LoadRecorder, LoadReport, PushPacer, ServiceLevel, ServiceLoad, MAX_RANKS, MAX_SERVICES,
    },
    clock::BootTime,
    follow::ProofRequest,
    peer::{decode, decode_extended, encode, encode_extended},
    store::StoreVersion,
};
use quickcheck::quickcheck;

/// Daemons of the fleet.
const FLEET: usize = 100;

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(ms))
}

/// Returns sums of a service with 100 slots, whose capacity is 1000 requests per second.
fn sums(offered: &[(u32, f64)], load: f64) -> ServiceLoad {
    let total: f64 = offered.iter().map(|(_, rate)| rate).sum();
    ServiceLoad {
        service: "one".to_owned(),
        offered: offered.to_vec(),
        answered_per_s: total.min(1000.0),
        load_sum: load * FLEET as f64,
        daemons: FLEET as u32,
        work_sum_s: 0.1 * FLEET as f64,
        timed: FLEET as u32,
        in_flight: load * 100.0,
        slots: 100,
    }
}

const RANKS: [(u32, f64); 3] = [(0, 425.0), (1, 990.0), (2, 285.0)];

fn message(level: AdmissionLevel) -> LevelMessage {
    LevelMessage {
        levels: vec![ServiceLevel {
            service: "one".to_owned(),
            level,
        }],
    }
}

const STRICT: AdmissionLevel = AdmissionLevel {
    marginal_rank: 1,
    marginal_share: 0.5,
    floor_share: 0.1,
};

/// Guards against levels without an overload, and against a missing one in an overload.
#[test]
fn level_follows_from_demand_and_load() {
    struct Case {
        name: &'static str,
        sums: ServiceLoad,
        was_full: bool,
        marginal_rank: Option<u32>,
    }
    let cases = [
        Case {
            name: "overload",
            sums: sums(&RANKS, 2.7),
            was_full: false,
            marginal_rank: Some(1),
        },
        Case {
            name: "urgent rank alone exceeds the capacity",
            sums: sums(&[(0, 2000.0), (1, 500.0)], 2.7),
            was_full: false,
            marginal_rank: Some(0),
        },
        Case {
            name: "idle slots",
            sums: sums(&RANKS, 0.8),
            was_full: true,
            marginal_rank: None,
        },
        Case {
            name: "one rank",
            sums: sums(&[(3, 1700.0)], 2.7),
            was_full: true,
            marginal_rank: None,
        },
        Case {
            name: "full queues of a few targets beside idle ones",
            sums: ServiceLoad {
                in_flight: 60.0,
                ..sums(&RANKS, 5.0)
            },
            was_full: false,
            marginal_rank: None,
        },
        Case {
            name: "sudden rise below the capacity, with answers that come late",
            sums: ServiceLoad {
                answered_per_s: 400.0,
                ..sums(&[(0, 300.0), (1, 600.0)], 1.4)
            },
            was_full: false,
            marginal_rank: None,
        },
        Case {
            name: "a service that sheds half of its requests with idle slots",
            sums: ServiceLoad {
                answered_per_s: 350.0,
                ..sums(&[(0, 300.0), (1, 400.0)], 0.4)
            },
            was_full: false,
            marginal_rank: None,
        },
        Case {
            name: "end of an overload",
            sums: sums(&[(0, 300.0), (1, 500.0)], 2.0),
            was_full: true,
            marginal_rank: None,
        },
        Case {
            name: "no report",
            sums: ServiceLoad::default(),
            was_full: true,
            marginal_rank: None,
        },
    ];
    for case in &cases {
        let level = derive_level(&case.sums, FLEET, case.was_full);
        let rank = level.map(|l| l.marginal_rank);
        assert_eq!(rank, case.marginal_rank, "{}: {level:?}", case.name);
    }
}

/// Guards against starvation of the least urgent rank, and against shares that do not add up.
#[test]
fn every_rank_keeps_a_quarter_of_the_mean_share() {
    let level = derive_level(&sums(&RANKS, 2.7), FLEET, false).expect("a level");
    let admitted: f64 = RANKS.iter().map(|(r, rate)| level.share(*r) * rate).sum();
    let offered: f64 = RANKS.iter().map(|(_, rate)| rate).sum();
    assert!((admitted - 1000.0).abs() < 1.0, "{admitted}");
    assert_eq!(level.share(0), 1.0);
    assert!(level.share(2) >= 0.25 * admitted / offered, "{level:?}");
}

quickcheck! {
    /// Shares are valid and never rise with the rank, whatever is reported.
    fn more_urgent_ranks_get_no_smaller_share(rates: Vec<u16>, answered: u16, load: u8) -> bool {
        let offered: Vec<(u32, f64)> =
            (0..).zip(&rates).map(|(rank, rate)| (rank, f64::from(*rate))).take(MAX_RANKS).collect();
        let sums = ServiceLoad {
            answered_per_s: f64::from(answered),
            ..sums(&offered, f64::from(load) / 50.0)
        };
        let Some(level) = derive_level(&sums, FLEET, true) else {
            return true;
        };
        let shares: Vec<f64> = (0..MAX_RANKS as u32).map(|rank| level.share(rank)).collect();
        level.is_valid() && shares.windows(2).all(|w| w[0] >= w[1])
    }
}

/// Returns the levels at a reader to which `hosts` report.
fn levels(reports: &[(String, ServiceLoad)]) -> LevelMessage {
    let mut aggregator = LoadAggregator::default();
    for (host, load) in reports {
        let report = LoadReport {
            services: vec![load.clone()],
        };
        aggregator.apply_daemon(host, report, at(1000));
    }
    aggregator.levels(&LoadReport::default(), FLEET, at(1000))
}

/// Returns the report of one of [`FLEET`] daemons whose sums are `sums`.
fn part(sums: &ServiceLoad) -> ServiceLoad {
    let mut part = sums.clone();
    part.scale(1.0 / FLEET as f64);
    part.daemons = 1;
    part.timed = 1;
    part
}

/// Guards against a daemon with a bad link or wrong numbers that moves the level of the fleet.
#[test]
fn one_daemon_cannot_move_a_level_alone() {
    let normal = part(&sums(&[(0, 300.0), (1, 400.0)], 0.7));
    let full = part(&sums(&RANKS, 2.7));
    let extreme = ServiceLoad {
        load_sum: 1e9,
        ..full.clone()
    };
    let idle = ServiceLoad {
        offered: Vec::new(),
        answered_per_s: 0.0,
        load_sum: 0.0,
        in_flight: 0.0,
        ..full.clone()
    };
    let fleet = |rest: &ServiceLoad, odd: Option<&ServiceLoad>| {
        let mut reports: Vec<(String, ServiceLoad)> = (0..FLEET)
            .map(|i| (format!("h{i}"), rest.clone()))
            .collect();
        if let Some(odd) = odd {
            reports[0].1 = odd.clone();
        }
        levels(&reports)
    };
    assert!(fleet(&normal, Some(&full)).levels.is_empty());
    assert!(fleet(&normal, Some(&extreme)).levels.is_empty());
    let before = fleet(&full, None).levels[0].level;
    let after = fleet(&full, Some(&idle)).levels[0].level;
    assert_eq!(after.marginal_rank, before.marginal_rank);
    assert!((after.marginal_share - before.marginal_share).abs() < 0.02);
}

/// Guards against levels from reports of daemons that are gone.
#[test]
fn old_reports_do_not_count() {
    let mut aggregator = LoadAggregator::default();
    let load = part(&sums(&RANKS, 2.7));
    for i in 0..FLEET {
        let services = vec![load.clone()];
        aggregator.apply_daemon(&format!("h{i}"), LoadReport { services }, at(1000));
    }
    let own = LoadReport::default();
    assert_eq!(aggregator.levels(&own, FLEET, at(1500)).levels.len(), 1);
    assert!(aggregator.levels(&own, FLEET, at(3000)).levels.is_empty());
}

/// Guards against unusable numbers and messages without bound.
#[test]
fn invalid_reports_are_dropped() {
    let valid = part(&sums(&RANKS, 2.7));
    let with = |change: fn(&mut ServiceLoad)| {
        let mut load = valid.clone();
        change(&mut load);
        LoadReport {
            services: vec![load],
        }
    };
    let cases = [
        with(|l| l.load_sum = f64::NAN),
        with(|l| l.answered_per_s = -1.0),
        with(|l| l.in_flight = f64::INFINITY),
        with(|l| l.offered.reverse()),
        with(|l| l.offered = (0..=MAX_RANKS as u32).map(|r| (r, 1.0)).collect()),
        LoadReport {
            services: vec![valid.clone(); MAX_SERVICES + 1],
        },
    ];
    for report in cases {
        assert!(!report.is_valid(), "{report:?}");
    }
}

/// Guards against reports that grow with the number of services or ranks.
#[test]
fn reports_are_bounded() {
    let mut recorder = LoadRecorder::default();
    for n in 0..200 {
        let service: Rc<str> = Rc::from(format!("service-{n}"));
        for rank in 0..200 {
            recorder.record_offered(&service, rank, at(1000));
        }
        let work = Duration::from_millis(100);
        recorder.record_answer(&service, work, Some(2.0), at(1000));
    }
    let report = recorder.report(at(1000));
    assert!(report.is_valid());
    assert_eq!(report.services.len(), MAX_SERVICES);
    assert!(encode(&report).expect("a body").len() < 8 * 1024);
}

fn admitted(gate: &mut AdmissionGate, rank: u32, now: BootTime) -> usize {
    let admits = |_: &usize| gate.decide("one", rank, now) == GateDecision::Admit;
    (0..1000).filter(admits).count()
}

/// Guards against levels that are not kept, or that outlive the contact with the readers.
#[test]
fn gate_admits_by_share_and_decays() {
    let mut gate = AdmissionGate::new(1);
    assert_eq!(admitted(&mut gate, 2, at(0)), 1000);
    gate.apply(&message(STRICT), at(0));
    struct Case {
        at_ms: u64,
        rank: u32,
        admitted: usize,
    }
    let case = |at_ms, rank, admitted| Case {
        at_ms,
        rank,
        admitted,
    };
    let cases = [
        case(100, 0, 1000),
        case(100, 1, 500),
        case(100, 2, 100),
        case(1500, 2, 100),
        case(2250, 2, 550),
        case(3000, 2, 1000),
    ];
    for case in &cases {
        let n = admitted(&mut gate, case.rank, at(case.at_ms));
        let name = format!("rank {} at {} ms: {n}", case.rank, case.at_ms);
        assert!(n.abs_diff(case.admitted) <= 1, "{name}");
        let rejects = gate.rejects("one", case.rank, at(case.at_ms));
        assert_eq!(rejects, case.admitted < 1000, "{name}");
    }
}

/// Guards against a level that stays after the reader left it out, and against invalid shares.
#[test]
fn gate_drops_levels_that_are_left_out_or_invalid() {
    let mut gate = AdmissionGate::new(1);
    gate.apply(&message(STRICT), at(0));
    gate.apply(&LevelMessage::default(), at(100));
    assert_eq!(admitted(&mut gate, 2, at(100)), 1000);
    let invalid = AdmissionLevel {
        floor_share: f64::NAN,
        ..STRICT
    };
    gate.apply(&message(invalid), at(200));
    assert_eq!(admitted(&mut gate, 2, at(200)), 1000);
}

/// Guards against clients that return together.
#[test]
fn retry_after_is_spread() {
    let mut gate = AdmissionGate::new(1);
    gate.apply(&message(STRICT), at(0));
    let mut waits: Vec<Duration> = Vec::new();
    for _ in 0..100 {
        if let GateDecision::Reject { retry_after, .. } = gate.decide("one", 1, at(0)) {
            waits.push(retry_after);
        }
    }
    let (min, max) = (waits.iter().min(), waits.iter().max());
    assert!(min >= Some(&Duration::from_secs(1)), "{min:?}");
    assert!(max <= Some(&Duration::from_secs(6)), "{max:?}");
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 40, "{waits:?}");
}

/// Guards against more messages than the bound when a level changes all the time.
#[test]
fn pushes_are_bounded() {
    let mut pacer = PushPacer::default();
    let strict = message(STRICT);
    let mut pushes = 0;
    for ms in (10_000..20_000).step_by(100) {
        let level = if ms % 200 == 0 {
            LevelMessage::default()
        } else {
            strict.clone()
        };
        pushes += usize::from(pacer.should_push(&level, at(ms)));
    }
    // A push and its response are two messages of each daemon.
    assert!((1..10).contains(&pushes), "{pushes}");
}

/// Guards against proofs that daemons of the previous build cannot decode.
#[test]
fn extension_is_ignored_by_earlier_builds() {
    let req = ProofRequest {
        configuration: Some(StoreVersion::from(7)),
        targets: None,
        members: Some(StoreVersion::from(3)),
    };
    let report = LoadReport {
        services: vec![part(&sums(&RANKS, 2.7))],
    };
    let extended = encode_extended(&req, Some(&report)).expect("a body");
    assert_eq!(decode(&extended), Some(req.clone()));
    assert_eq!(
        decode_extended(&extended),
        Some((req.clone(), Some(report)))
    );
    let plain = encode_extended(&req, None::<&LoadReport>);
    assert_eq!(plain, encode(&req));
    let decoded = decode_extended::<_, LoadReport>(&plain.expect("a body"));
    assert_eq!(decoded, Some((req, None)));
}
