//! Measurements of the detection of gray failures, on simulated fleets.

use std::{
    io,
    time::{Duration, Instant},
};

use chervillug::health::Profile;
use serde_json::{json, Value};

use crate::{
    figure::Report,
    gray_fleet::run,
    gray_scenario::{Fault, Outcome, Policy, Scenario, Site, SITES},
    RunOptions,
};

const PROFILES: [Policy; 2] = [
    Policy::Sequential(Profile::FewFalseEjections),
    Policy::Sequential(Profile::FastDetection),
];
const DETECTION_FAULTS: [Fault; 5] = [
    Fault::Errors(1.0),
    Fault::Errors(0.5),
    Fault::Errors(0.2),
    Fault::Slow(10.0),
    Fault::Silent,
];
const LOADS: [f64; 3] = [0.3, 0.6, 0.85];
/// Time of the onset of the fault, in seconds.
const ONSET_S: f64 = 15.0;
/// Time after the onset at which a fault counts as not detected, in seconds.
const DETECTION_TIMEOUT_S: f64 = 15.0;

fn scenario(site: Site, policy: Policy, fault: Fault, load: f64, seed: u64) -> Scenario {
    Scenario {
        site,
        policy,
        fault,
        load,
        neighbour_load: 0.9,
        onset_s: ONSET_S,
        end_s: ONSET_S + DETECTION_TIMEOUT_S,
        until_detected: true,
        seed,
    }
}

fn fields(s: &Scenario, runs: usize) -> Value {
    json!({
        "detector": s.policy.name(),
        "profile": s.policy.profile(),
        "fault": s.fault.name(),
        "site": s.site.name,
        "load": s.load,
        "runs": runs,
        "decisions_only": true,
    })
}

/// Runs `cases` in turn with new seeds until the time of `opts` is over, at least once each, and
/// returns all outcomes by case.
fn run_all(cases: &[Scenario], opts: &RunOptions) -> Vec<Vec<Outcome>> {
    let end = Instant::now() + Duration::from_secs(opts.seconds);
    let mut outcomes: Vec<Vec<Outcome>> = cases.iter().map(|_| Vec::new()).collect();
    for round in 0.. {
        for (case, of_case) in cases.iter().zip(&mut outcomes) {
            if round > 0 && Instant::now() >= end {
                return outcomes;
            }
            let seed = opts.seed.wrapping_mul(1_000_000) + round;
            of_case.push(run(&Scenario { seed, ..*case }));
        }
    }
    outcomes
}

fn report_detection(s: &Scenario, outcomes: &[Outcome], report: &mut Report) {
    let mut times: Vec<f64> = outcomes
        .iter()
        .map(|o| o.detect_s.unwrap_or(f64::INFINITY))
        .collect();
    times.sort_by(f64::total_cmp);
    let field = fields(s, outcomes.len());
    let detected = times.iter().filter(|t| t.is_finite()).count();
    let share = detected as f64 / times.len().max(1) as f64;
    report.figure("detected_share", share, "share", &field);
    for (name, quantile) in [("detect_p50_s", 0.5), ("detect_p99_s", 0.99)] {
        let rank = (quantile * times.len() as f64).ceil() as usize;
        let value = times[rank.clamp(1, times.len()) - 1];
        let value = if value.is_finite() {
            value
        } else {
            DETECTION_TIMEOUT_S
        };
        report.figure(name, value, "s", &field);
    }
    let violations: u64 = outcomes.iter().map(|o| o.floor_violations).sum();
    report.figure("floor_violations", violations as f64, "count", &field);
}

/// Measures the time until a gray target is no longer routed to, and the goodput during a fault.
pub(crate) fn gray(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let mut cases = Vec::new();
    for site in SITES {
        for fault in DETECTION_FAULTS {
            for load in LOADS {
                let policy = Policy::Sequential(site.profile);
                cases.push(scenario(site, policy, fault, load, opts.seed));
            }
            for policy in [Policy::Consecutive, Policy::Probe] {
                cases.push(scenario(site, policy, fault, 0.6, opts.seed));
            }
            let profiles = PROFILES.map(|p| scenario(site, p, fault, 0.6, opts.seed));
            cases.extend(
                profiles
                    .iter()
                    .filter(|s| s.policy != Policy::Sequential(site.profile)),
            );
        }
    }
    let detection_opts = RunOptions {
        seed: opts.seed,
        seconds: opts.seconds * 2 / 3,
    };
    for (case, outcomes) in cases.iter().zip(run_all(&cases, &detection_opts)) {
        report_detection(case, &outcomes, report);
    }
    let goodput_opts = RunOptions {
        seed: opts.seed,
        seconds: opts.seconds / 3,
    };
    goodput(&goodput_opts, report);
    Ok(())
}

/// Measures the good responses during 10 s of a fault, as a share of those of a fleet that is
/// informed of the fault at its onset.
fn goodput(opts: &RunOptions, report: &mut Report) {
    let mut cases = Vec::new();
    for site in SITES {
        for fault in [Fault::Errors(0.5), Fault::Slow(10.0)] {
            let site_policy = Policy::Sequential(site.profile);
            for policy in [
                Policy::Informed,
                site_policy,
                Policy::Consecutive,
                Policy::Probe,
            ] {
                let mut case = scenario(site, policy, fault, 0.6, opts.seed);
                case.until_detected = false;
                case.end_s = ONSET_S + 12.0;
                cases.push(case);
            }
        }
    }
    let outcomes = run_all(&cases, opts);
    let rounds = outcomes.iter().map(Vec::len).min().unwrap_or(0);
    let good = |outcomes: &[Outcome]| outcomes[..rounds].iter().map(|o| o.good).sum::<u64>() as f64;
    for (group, outcomes) in cases.chunks(4).zip(outcomes.chunks(4)) {
        let informed = good(&outcomes[0]);
        for (case, outcomes) in group.iter().zip(outcomes).skip(1) {
            let share = good(outcomes) / informed;
            report.figure("goodput_share", share, "share", &fields(case, rounds));
        }
    }
}

/// Measures the detection of a target that fails all requests in every second period of 1 s.
pub(crate) fn flap(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let mut cases = Vec::new();
    for site in SITES {
        for policy in [
            Policy::Sequential(site.profile),
            Policy::Consecutive,
            Policy::Probe,
        ] {
            cases.push(scenario(site, policy, Fault::Flap(1.0), 0.6, opts.seed));
        }
    }
    for (case, outcomes) in cases.iter().zip(run_all(&cases, opts)) {
        report_detection(case, &outcomes, report);
    }
    Ok(())
}

/// Measures the rate of ejections of healthy targets.
pub(crate) fn noise(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let mut cases = Vec::new();
    for site in SITES {
        for fault in [
            Fault::None,
            Fault::Peaks,
            Fault::ServiceSlow(10.0),
            Fault::BadLink(0.5),
        ] {
            for policy in PROFILES.into_iter().chain([Policy::Consecutive]) {
                let mut case = scenario(site, policy, fault, 0.45, opts.seed);
                case.until_detected = false;
                case.onset_s = 30.0;
                case.end_s = 150.0;
                cases.push(case);
            }
        }
    }
    for (case, outcomes) in cases.iter().zip(run_all(&cases, opts)) {
        let seconds: f64 = outcomes.iter().map(|o| o.simulated_s).sum();
        let hours = seconds * case.site.targets as f64 / 3600.0;
        let ejections: u64 = outcomes.iter().map(|o| o.ejections).sum();
        let mut field = fields(case, outcomes.len());
        field["target_hours"] = json!(hours);
        field["ejections"] = json!(ejections);
        let rate = ejections as f64 / hours * 1000.0;
        report.figure("false_ejections_per_1000_h", rate, "1/1000 h", &field);
        let messages: f64 = outcomes.iter().map(|o| o.messages_per_s).sum();
        let per_s = messages / outcomes.len().max(1) as f64;
        report.figure("suspicion_messages_per_s", per_s, "1/s", &field);
        let violations: u64 = outcomes.iter().map(|o| o.floor_violations).sum();
        report.figure("floor_violations", violations as f64, "count", &field);
    }
    Ok(())
}

fn report_shares(loads: &[f64], neighbour: f64, opts: &RunOptions, report: &mut Report) {
    let mut cases = Vec::new();
    for site in SITES {
        for load in loads {
            for fault in [Fault::None, Fault::Errors(0.5)] {
                let site_policy = Policy::Sequential(site.profile);
                for policy in [site_policy, Policy::Consecutive, Policy::Probe] {
                    let mut case = scenario(site, policy, fault, *load, opts.seed);
                    case.neighbour_load = neighbour;
                    case.until_detected = false;
                    cases.push(case);
                }
            }
        }
    }
    for (case, outcomes) in cases.iter().zip(run_all(&cases, opts)) {
        let count = outcomes.len().max(1) as f64;
        let mut field = fields(case, outcomes.len());
        field["neighbour"] = json!(neighbour);
        let worst = outcomes.iter().map(|o| o.worst_workspace).sum::<f64>() / count;
        report.figure("worst_workspace_share", worst, "share", &field);
        let admitted: u64 = outcomes.iter().map(|o| o.admitted).sum();
        let refused: u64 = outcomes.iter().map(|o| o.refused).sum();
        let share = refused as f64 / admitted.max(1) as f64;
        report.figure("wrongly_refused_share", share, "share", &field);
    }
}

/// Measures the worst-served workspace while another one sends 5 times the rate of its plan.
pub(crate) fn neighbour(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    report_shares(&[0.6, 0.85], 5.0, opts, report);
    Ok(())
}

/// Measures the worst-served workspace while the plans together use or exceed all slots.
pub(crate) fn overload(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    report_shares(&[1.0, 1.3], 5.0, opts, report);
    Ok(())
}
