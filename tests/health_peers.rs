//! Exchanged suspicions raise an alarm only with evidence from several daemons and data centres,
//! and stay within their byte budget.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    health::{
        EvidenceReport, FleetEvidence, Member, Suspicion, SuspicionExchange, SuspicionReport,
        BURST_BYTES, BYTES_PER_S, MESSAGE_OVERHEAD_BYTES,
    },
};

/// Evidence of one failure at a service without other failures, in nats.
const FAILURE_NATS: f64 = 3.7;
const THRESHOLD: f64 = 20.0;
const TARGETS: u32 = 10;

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(ms))
}

/// Reports of bad requests by 36 daemons in three data centres on ten targets.
struct Case {
    name: &'static str,
    /// Daemons that report.
    daemons: fn(u32) -> bool,
    /// Targets that are reported.
    targets: fn(u32) -> bool,
    /// Time between two reports of one daemon on one target.
    interval_ms: u64,
    /// Whether an alarm is raised for any target.
    raises_alarm: bool,
}

#[test]
fn alarm_needs_evidence_from_several_daemons_and_data_centres() {
    let cases = [
        Case {
            name: "all daemons, one target",
            daemons: |_| true,
            targets: |t| t == 0,
            interval_ms: 500,
            raises_alarm: true,
        },
        Case {
            name: "two data centres, one target",
            daemons: |d| d % 3 != 0,
            targets: |t| t == 0,
            interval_ms: 500,
            raises_alarm: true,
        },
        Case {
            name: "three of ten targets",
            daemons: |_| true,
            targets: |t| t < 3,
            interval_ms: 500,
            raises_alarm: true,
        },
        Case {
            name: "one daemon with a bad link",
            daemons: |d| d == 0,
            targets: |_| true,
            interval_ms: 10,
            raises_alarm: false,
        },
        Case {
            name: "one daemon, one target",
            daemons: |d| d == 0,
            targets: |t| t == 0,
            interval_ms: 10,
            raises_alarm: false,
        },
        Case {
            name: "two daemons of two data centres, one target",
            daemons: |d| d < 2,
            targets: |t| t == 0,
            interval_ms: 10,
            raises_alarm: false,
        },
        Case {
            name: "one data centre, one target",
            daemons: |d| d % 3 == 0,
            targets: |t| t == 0,
            interval_ms: 50,
            raises_alarm: false,
        },
        Case {
            name: "whole service",
            daemons: |_| true,
            targets: |_| true,
            interval_ms: 100,
            raises_alarm: false,
        },
        Case {
            name: "rare failures everywhere",
            daemons: |_| true,
            targets: |_| true,
            interval_ms: 60_000,
            raises_alarm: false,
        },
    ];
    for case in &cases {
        assert_eq!(raises_alarm(case), case.raises_alarm, "{}", case.name);
    }
}

fn raises_alarm(case: &Case) -> bool {
    let mut evidence = FleetEvidence::new(THRESHOLD);
    let steps = if case.interval_ms > 1000 { 60 } else { 20 };
    let mut reports = Vec::new();
    let pairs = (0..36).flat_map(|d| (0..TARGETS).map(move |t| (d, t)));
    for (d, t) in pairs.filter(|(d, t)| (case.daemons)(*d) && (case.targets)(*t)) {
        let offset = u64::from(d * 7919 + t * 104_729) % case.interval_ms;
        reports.extend((0..steps).map(|i| (1000 + offset + i * case.interval_ms, d, t)));
    }
    reports.sort_unstable();
    reports.iter().any(|(ms, d, t)| {
        let report = EvidenceReport {
            target: &format!("target-{t}"),
            siblings: TARGETS,
            host: &format!("entry-{d}"),
            data_centre: &format!("dc-{}", d % 3),
            nats: FAILURE_NATS,
            expected_per_s: 60.0,
        };
        evidence.add_report(&report, at(*ms))
    })
}

#[test]
fn suspicions_stay_within_byte_budget() {
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
                nats: FAILURE_NATS,
                siblings: TARGETS,
                work_per_s: 1.0,
            });
        }
        let round = exchange.run_round(at(ms));
        sent += round.outgoing.len();
        dropped += round.dropped;
    }
    let max_sent = (BURST_BYTES + BYTES_PER_S * SECONDS as f64) / MESSAGE_OVERHEAD_BYTES;
    assert!(
        sent > 0 && dropped > 0,
        "the load should exceed the byte budget"
    );
    assert!(sent as f64 <= max_sent, "{sent} messages");
    const { assert!(BYTES_PER_S < 2000.0) };
}

#[test]
fn one_unusable_report_does_not_silence_the_evidence_of_others() {
    let member = |i: u32| Member {
        host: format!("entry-{i}").into(),
        data_centre: format!("dc-{}", i % 3).into(),
    };
    for work_per_s in [f32::INFINITY, f32::NAN, -1.0] {
        let mut exchange = SuspicionExchange::new(member(0), THRESHOLD, at(0));
        exchange.set_peers((1..36).map(member).collect());
        let report = |work_per_s| SuspicionReport {
            service: "one".to_owned(),
            target: "t0".to_owned(),
            nats: FAILURE_NATS as f32,
            siblings: TARGETS,
            work_per_s,
        };
        exchange.add_report("entry-1", &report(work_per_s), at(0));
        let mut alarmed = false;
        for ms in (500..10_000).step_by(500) {
            for i in 2..36 {
                exchange.add_report(&format!("entry-{i}"), &report(1.0), at(ms));
            }
            alarmed |= !exchange.run_round(at(ms)).alarms.is_empty();
        }
        assert!(
            alarmed,
            "no alarm after a report of {work_per_s} requests a second"
        );
    }
}
