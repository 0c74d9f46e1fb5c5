//! What daemons tell each other ejects nobody on the word of a few.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    health::{
        EvidenceReport, FleetEvidence, Member, Suspicion, SuspicionExchange, BURST_BYTES,
        BYTES_PER_S, MESSAGE_OVERHEAD_BYTES,
    },
};

/// Evidence of one failure at a service without others, nats.
const NATS: f64 = 3.7;
const THRESHOLD: f64 = 20.0;
const TARGETS: u32 = 10;

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(ms))
}

/// Tells who of 36 daemons in three data centres reports bad work at which of ten targets.
struct Case {
    name: &'static str,
    /// Daemons that report.
    daemons: fn(u32) -> bool,
    /// Targets that they report.
    targets: fn(u32) -> bool,
    /// Time between two reports of one daemon on one target, ms.
    gap_ms: u64,
    /// Whether any target comes to an alarm.
    alarms: bool,
}

#[test]
fn evidence_needs_several_daemons_and_data_centres() {
    let cases = [
        Case {
            name: "all daemons, one target",
            daemons: |_| true,
            targets: |t| t == 0,
            gap_ms: 500,
            alarms: true,
        },
        Case {
            name: "two data centres, one target",
            daemons: |d| d % 3 != 0,
            targets: |t| t == 0,
            gap_ms: 500,
            alarms: true,
        },
        Case {
            name: "three of ten targets",
            daemons: |_| true,
            targets: |t| t < 3,
            gap_ms: 500,
            alarms: true,
        },
        Case {
            name: "one daemon with a bad link",
            daemons: |d| d == 0,
            targets: |_| true,
            gap_ms: 10,
            alarms: false,
        },
        Case {
            name: "one daemon, one target",
            daemons: |d| d == 0,
            targets: |t| t == 0,
            gap_ms: 10,
            alarms: false,
        },
        Case {
            name: "two daemons of two data centres, one target",
            daemons: |d| d < 2,
            targets: |t| t == 0,
            gap_ms: 10,
            alarms: false,
        },
        Case {
            name: "one data centre, one target",
            daemons: |d| d % 3 == 0,
            targets: |t| t == 0,
            gap_ms: 50,
            alarms: false,
        },
        Case {
            name: "whole service",
            daemons: |_| true,
            targets: |_| true,
            gap_ms: 100,
            alarms: false,
        },
        Case {
            name: "noise",
            daemons: |_| true,
            targets: |_| true,
            gap_ms: 60_000,
            alarms: false,
        },
    ];
    for case in &cases {
        assert_eq!(comes_to_alarm(case), case.alarms, "{}", case.name);
    }
}

fn comes_to_alarm(case: &Case) -> bool {
    let mut evidence = FleetEvidence::new(THRESHOLD);
    let steps = if case.gap_ms > 1000 { 60 } else { 20 };
    let mut reports = Vec::new();
    let pairs = (0..36).flat_map(|d| (0..TARGETS).map(move |t| (d, t)));
    for (d, t) in pairs.filter(|(d, t)| (case.daemons)(*d) && (case.targets)(*t)) {
        let offset = u64::from(d * 7919 + t * 104_729) % case.gap_ms;
        reports.extend((0..steps).map(|i| (1000 + offset + i * case.gap_ms, d, t)));
    }
    reports.sort_unstable();
    reports.iter().any(|(ms, d, t)| {
        let report = EvidenceReport {
            target: &format!("target-{t}"),
            siblings: TARGETS,
            host: &format!("entry-{d}"),
            data_centre: &format!("dc-{}", d % 3),
            nats: NATS,
            expected_per_s: 60.0,
        };
        evidence.add_report(&report, at(*ms))
    })
}

#[test]
fn suspicions_stay_within_their_bytes() {
    let member = |i: u32| Member {
        host: format!("entry-{i}").into(),
        data_centre: format!("dc-{}", i % 3).into(),
    };
    let mut exchange = SuspicionExchange::new(member(0), THRESHOLD, at(0));
    exchange.set_peers((1..48).map(member).collect());
    const SECONDS: u64 = 300;
    let (mut sent, mut dropped) = (0, 0);
    for ms in (0..SECONDS * 1000).step_by(50) {
        for t in 0..50 {
            exchange.add_suspicion(&Suspicion {
                service: format!("service-{}", t % 5).into(),
                target: format!("target-{t}").into(),
                nats: NATS,
                siblings: TARGETS,
                work_per_s: 1.0,
            });
        }
        let round = exchange.run_round(at(ms));
        sent += round.outgoing.len();
        dropped += round.dropped;
    }
    let bound = (BURST_BYTES + BYTES_PER_S * SECONDS as f64) / MESSAGE_OVERHEAD_BYTES;
    assert!(sent > 0 && dropped > 0, "the flood reaches the bound");
    assert!(sent as f64 <= bound, "{sent} messages");
    const { assert!(BYTES_PER_S < 2000.0) };
}
