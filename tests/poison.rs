//! Poison requests: the detector by itself and in a real fleet.

mod env;

use std::{fs, thread, time::Duration};

use chervillug::{
    clock::BootTime,
    poison::{Fingerprint, PoisonDetector, PoisonNotice, Refusal, Verdict},
};
use standins::{Client, Cluster, Reply, Target};

fn at(s: u64) -> BootTime {
    BootTime::from_duration(Duration::from_secs(s))
}

fn crash_fingerprint() -> Fingerprint {
    Fingerprint::new("parish", "GET", "/catalogue/crash", b"")
}

fn notice(target: &str, verdict: Verdict, consecutive: u32) -> PoisonNotice {
    PoisonNotice {
        fingerprint: crash_fingerprint(),
        target: target.to_owned(),
        verdict,
        relay: false,
        consecutive,
    }
}

/// A step of a detector test. The steps are a second apart.
#[derive(Clone, Copy)]
enum Step {
    /// A target crashes while it processes a request that was sent just before.
    Crash(&'static str),
    /// A target crashes while it processes a request that was sent before all other steps.
    EarlyCrash(&'static str),
    Suspicion(&'static str, u32),
    Refusal(&'static str),
    Clearance,
    Answer,
}

/// Performs a step at the time `s` and returns the notice for the other daemons.
fn perform(detector: &mut PoisonDetector, step: Step, s: u64) -> Option<PoisonNotice> {
    let fingerprint = crash_fingerprint();
    let mut crash = |target, sent| Some(detector.record_crash(fingerprint, target, sent, at(s)));
    match step {
        Step::Crash(target) => return crash(target, at(s)),
        Step::EarlyCrash(target) => return crash(target, at(0)),
        Step::Answer => return detector.record_answer(fingerprint),
        Step::Suspicion(target, consecutive) => {
            detector.apply_notice(&notice(target, Verdict::Suspect, consecutive), at(s));
        }
        Step::Refusal(target) => {
            detector.apply_notice(&notice(target, Verdict::Refused, 2), at(s));
        }
        Step::Clearance => detector.apply_notice(&notice("", Verdict::Cleared, 0), at(s)),
    }
    None
}

/// Guards also against the refusal of sound requests that were at work on targets which crashed at
/// the same time, and against refusals that no answer ends.
#[test]
fn detector_refuses_after_consecutive_crashes_of_two_targets() {
    use Step::{Answer, Clearance, Crash, EarlyCrash, Refusal, Suspicion};

    struct Case {
        steps: &'static [Step],
        refused: bool,
    }
    let cases = [
        Case {
            steps: &[Crash("a")],
            refused: false,
        },
        Case {
            steps: &[Crash("a"), Crash("a")],
            refused: false,
        },
        Case {
            steps: &[Crash("a"), Crash("b")],
            refused: true,
        },
        Case {
            steps: &[EarlyCrash("a"), EarlyCrash("b"), EarlyCrash("c")],
            refused: false,
        },
        Case {
            steps: &[EarlyCrash("a"), EarlyCrash("b"), Crash("b")],
            refused: false,
        },
        Case {
            steps: &[EarlyCrash("a"), EarlyCrash("b"), Crash("c")],
            refused: true,
        },
        Case {
            steps: &[Suspicion("a", 1), Crash("b")],
            refused: true,
        },
        Case {
            steps: &[Suspicion("a", 1), EarlyCrash("b")],
            refused: false,
        },
        // The daemon that reports the crash of the second target did not know of the first.
        Case {
            steps: &[Crash("a"), Suspicion("b", 1)],
            refused: false,
        },
        Case {
            steps: &[Suspicion("a", 1), Suspicion("b", 1)],
            refused: false,
        },
        Case {
            steps: &[Refusal("b")],
            refused: true,
        },
        Case {
            steps: &[Crash("a"), Answer, Crash("b")],
            refused: false,
        },
        Case {
            steps: &[Crash("a"), Crash("b"), Answer],
            refused: false,
        },
        Case {
            steps: &[Refusal("b"), Clearance],
            refused: false,
        },
        Case {
            steps: &[Refusal("b"), Clearance, Crash("c"), Crash("d")],
            refused: true,
        },
    ];
    for (i, case) in cases.iter().enumerate() {
        let mut detector = PoisonDetector::default();
        for (step, s) in case.steps.iter().zip(10..) {
            perform(&mut detector, *step, s);
        }
        let refusal = |s| detector.refusal(crash_fingerprint(), at(s));
        let last = 9 + case.steps.len() as u64;
        assert_eq!(refusal(last).is_some(), case.refused, "{i}");
        assert!(refusal(last + 301).is_none(), "{i}");
    }
}

#[test]
fn refusal_is_provisional_while_earlier_requests_may_be_answered() {
    let mut detector = PoisonDetector::default();
    perform(&mut detector, Step::Crash("a"), 10);
    perform(&mut detector, Step::Crash("b"), 11);
    let refusal = |s| detector.refusal(crash_fingerprint(), at(s));
    assert_eq!(refusal(13), Some(Refusal::Provisional));
    assert_eq!(refusal(14), Some(Refusal::Confirmed));
}

#[test]
fn answer_clears_a_request_at_all_daemons() {
    use Step::{Answer, Crash, Refusal, Suspicion};

    struct Case {
        steps: &'static [Step],
        /// Whether the answer is reported to the other daemons.
        reported: bool,
    }
    let cases = [
        Case {
            steps: &[Answer],
            reported: false,
        },
        Case {
            steps: &[Crash("a"), Answer],
            reported: true,
        },
        // The daemon that reported the crash clears the suspicion.
        Case {
            steps: &[Suspicion("a", 1), Answer],
            reported: false,
        },
        Case {
            steps: &[Refusal("a"), Answer],
            reported: true,
        },
    ];
    for (i, case) in cases.iter().enumerate() {
        let mut other = PoisonDetector::default();
        perform(&mut other, Step::Refusal("a"), 10);
        let mut detector = PoisonDetector::default();
        let mut last = None;
        for (step, s) in case.steps.iter().zip(11..) {
            last = perform(&mut detector, *step, s);
        }
        assert_eq!(last.is_some(), case.reported, "{i}");
        if let Some(notice) = last {
            other.apply_notice(&notice, at(20));
            assert!(other.is_empty(), "{i}");
        }
        assert!(detector.is_empty(), "{i}");
    }
}

#[test]
fn detector_is_bounded_and_keeps_refused_requests() {
    let mut detector = PoisonDetector::default();
    perform(&mut detector, Step::Crash("a"), 1);
    perform(&mut detector, Step::Crash("b"), 1);
    for i in 0..5000u64 {
        let other = Fingerprint::new("parish", "GET", &format!("/{i}"), b"");
        detector.record_crash(other, "a", at(2), at(2));
    }
    assert!(detector.refusal(crash_fingerprint(), at(3)).is_some());
}

fn get(cluster: &Cluster, daemon: usize, key: &str, path: &str) -> Reply {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let address = cluster.daemons[daemon].caller_address;
    Client::send_once(address, "GET", path, &headers, b"").expect("no response")
}

#[test]
fn repeated_poison_request_kills_two_targets_and_ejects_none() {
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
        if reason == "crash_suspected" || reason == "crashes_targets" {
            assert_eq!(reply.header("chervillug-outcome"), Some("not-run"));
            refused += 1;
        } else {
            assert_eq!(reason, "target_lost", "{}", reply.text());
        }
    }
    let crashed = cluster.targets.iter().filter(|t| t.is_dead()).count();
    assert_eq!(crashed, 2, "{refused} refused");
    assert!(refused >= 58);
    thread::sleep(Duration::from_secs(3));
    for i in 0..6 {
        let reply = get(&cluster, i, &key, "/catalogue/crash");
        assert_eq!(reply.status, 422, "{}", reply.text());
        assert_eq!(reply.json()["reason"], "crashes_targets");
    }
    for target in cluster.targets.iter().filter(|t| t.is_dead()) {
        target.restart().expect("target did not restart");
    }
    thread::sleep(Duration::from_millis(100));
    for i in 0..180 {
        let reply = get(&cluster, i % 6, &key, "/catalogue/good");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert!(cluster.targets.iter().all(|t| runs_of_good(t) > 0));
}

/// Guards against the refusal of a page by the whole fleet because two targets crashed, for another
/// reason and at the same time, while each had a request for it at work.
#[test]
fn page_at_work_on_two_targets_that_crash_at_once_is_not_refused() {
    const CALLERS: usize = 12;
    let mut opts = env::options();
    opts.daemons = 6;
    opts.work = Duration::from_millis(200);
    opts.services = vec![("catalogue".into(), 8)];
    let cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let read_page = |caller: usize| -> Vec<Reply> {
        let send = |_| get(&cluster, caller % 6, &key, "/catalogue/page");
        (0..15).map(send).collect()
    };
    let replies: Vec<Reply> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|i| scope.spawn(move || read_page(i)))
            .collect();
        thread::sleep(Duration::from_millis(1500));
        let mut busy: Vec<&Target> = cluster.targets.iter().collect();
        busy.sort_by_key(|t| std::cmp::Reverse(t.log().last().map(|r| r.at_ms)));
        busy[0].kill();
        busy[1].kill();
        let results = callers
            .into_iter()
            .map(|c| c.join().expect("caller failed"));
        results.flatten().collect()
    });
    let refused = |r: &&Reply| {
        ["crash_suspected", "crashes_targets"]
            .iter()
            .any(|n| r.text().contains(n))
    };
    assert_eq!(replies.iter().filter(refused).count(), 0);
    let crashes: usize = cluster
        .daemons
        .iter()
        .map(|d| {
            fs::read_to_string(&d.log_path)
                .unwrap_or_default()
                .matches("crashed while processing")
                .count()
        })
        .sum();
    assert!(crashes >= 2, "{crashes} crashes seen");
    for i in 0..6 {
        let reply = get(&cluster, i, &key, "/catalogue/page");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
}

fn runs_of_good(target: &Target) -> usize {
    let log = target.log();
    log.iter().filter(|r| r.path == "/catalogue/good").count()
}
