//! Requests that crash targets: the detector, and the real fleet.

mod env;

use std::{thread, time::Duration};

use chervillug::{
    clock::BootTime,
    poison::{Fingerprint, PoisonDetector, PoisonNotice, Verdict},
};
use standins::{Client, Cluster, Reply, Target};

fn at(s: u64) -> BootTime {
    BootTime::from_duration(Duration::from_secs(s))
}

fn crash() -> Fingerprint {
    Fingerprint::new("parish", "GET", "/catalogue/crash", b"")
}

fn notice(target: &str, verdict: Verdict) -> PoisonNotice {
    PoisonNotice {
        fingerprint: crash(),
        target: target.to_owned(),
        verdict,
        relay: false,
    }
}

/// What a detector learns.
enum Step {
    Death(&'static str),
    Suspicion(&'static str),
    Refusal(&'static str),
    Answer,
}

#[test]
fn register_refuses_after_deaths_of_two_targets() {
    struct Case {
        steps: &'static [Step],
        refused: bool,
    }
    let cases = [
        Case {
            steps: &[Step::Death("a")],
            refused: false,
        },
        Case {
            steps: &[Step::Death("a"), Step::Death("a")],
            refused: false,
        },
        Case {
            steps: &[Step::Death("a"), Step::Death("b")],
            refused: true,
        },
        Case {
            steps: &[Step::Suspicion("a"), Step::Death("b")],
            refused: true,
        },
        Case {
            steps: &[Step::Death("a"), Step::Suspicion("b")],
            refused: true,
        },
        Case {
            steps: &[Step::Suspicion("a"), Step::Suspicion("b")],
            refused: false,
        },
        Case {
            steps: &[Step::Refusal("b")],
            refused: true,
        },
        Case {
            steps: &[Step::Death("a"), Step::Answer, Step::Death("b")],
            refused: false,
        },
        Case {
            steps: &[Step::Death("a"), Step::Death("b"), Step::Answer],
            refused: true,
        },
    ];
    for (i, case) in cases.iter().enumerate() {
        let mut detector = PoisonDetector::default();
        for step in case.steps {
            match step {
                Step::Death(target) => {
                    detector.record_crash(crash(), target, at(10));
                }
                Step::Suspicion(target) => {
                    detector.apply_notice(&notice(target, Verdict::Suspect), at(10));
                }
                Step::Refusal(target) => {
                    detector.apply_notice(&notice(target, Verdict::Refused), at(10));
                }
                Step::Answer => detector.record_answer(crash()),
            }
        }
        assert_eq!(detector.is_refused(crash(), at(11)), case.refused, "{i}");
        assert!(!detector.is_refused(crash(), at(311)), "{i}");
    }
}

#[test]
fn register_is_bounded_and_keeps_refusals() {
    let mut detector = PoisonDetector::default();
    detector.record_crash(crash(), "a", at(1));
    detector.record_crash(crash(), "b", at(1));
    for i in 0..5000u64 {
        let other = Fingerprint::new("parish", "GET", &format!("/{i}"), b"");
        detector.record_crash(other, "a", at(2));
    }
    assert!(detector.is_refused(crash(), at(3)));
}

fn get(cluster: &Cluster, daemon: usize, key: &str, path: &str) -> Reply {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let address = cluster.daemons[daemon].caller_address;
    Client::send_once(address, "GET", path, &headers, b"").expect("an answer")
}

#[test]
fn crash_request_sent_again_and_again_kills_two_targets_and_ejects_none() {
    let mut opts = env::options();
    opts.daemons = 6;
    opts.services = vec![("catalogue".into(), 6)];
    let cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    for target in &cluster.targets {
        target.set_faults(|f| f.crash_on = Some("crash".into()));
    }
    let mut refused = 0;
    for i in 0..60 {
        let reply = get(&cluster, i % 6, &key, "/catalogue/crash");
        let reason = reply.json()["reason"].clone();
        if reason == "crashes_targets" {
            assert_eq!(reply.header("chervillug-outcome"), Some("not-run"));
            refused += 1;
        } else {
            assert_eq!(reason, "target_lost", "{}", reply.text());
        }
    }
    let dead = cluster.targets.iter().filter(|t| t.is_dead()).count();
    assert_eq!(dead, 2, "{refused} refused");
    assert!(refused >= 58);
    for target in cluster.targets.iter().filter(|t| t.is_dead()) {
        target.restart().expect("the target starts again");
    }
    thread::sleep(Duration::from_millis(100));
    for i in 0..180 {
        let reply = get(&cluster, i % 6, &key, "/catalogue/good");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert!(cluster.targets.iter().all(|t| runs_of_good(t) > 0));
}

fn runs_of_good(target: &Target) -> usize {
    let log = target.log();
    log.iter().filter(|r| r.path == "/catalogue/good").count()
}
