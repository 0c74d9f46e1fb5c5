//! The decision which requests crash targets, without network or processes.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    poison::{Fingerprint, PoisonDetector, PoisonNotice, Refusal, Verdict},
};

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

/// What the detector does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Accepted,
    HeldBack,
    Refused,
}

fn state(detector: &PoisonDetector, s: u64) -> State {
    match detector.refusal(crash_fingerprint(), at(s)) {
        None => State::Accepted,
        Some(Refusal::HeldBack(_)) => State::HeldBack,
        Some(Refusal::Confirmed(_)) => State::Refused,
    }
}

/// A step of a detector test. The steps are a second apart.
#[derive(Clone, Copy)]
enum Step {
    /// Nothing happens.
    Pause,
    /// A request is about to be sent, which is a test.
    Test,
    /// A request is about to be sent, which is no test.
    Send,
    /// Another daemon sends a test.
    TestElsewhere,
    /// A target crashes while it processes a request that was sent just before.
    Crash(&'static str),
    /// A target crashes while it processes a request that was sent before all other steps.
    EarlyCrash(&'static str),
    Suspicion(&'static str, u32),
    HoldBack(&'static str),
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
        Step::HoldBack(target) => {
            detector.apply_notice(&notice(target, Verdict::HeldBack, 2), at(s));
        }
        Step::Refusal(target) => {
            detector.apply_notice(&notice(target, Verdict::Refused, 3), at(s));
        }
        Step::Pause => {}
        Step::Test => {
            let test = detector.begin_test(fingerprint, at(s));
            assert!(test.is_some(), "no test at {s}");
            return test;
        }
        Step::Send => assert!(
            detector.begin_test(fingerprint, at(s)).is_none(),
            "test at {s}"
        ),
        Step::TestElsewhere => detector.apply_notice(&notice("", Verdict::Tested, 2), at(s)),
        Step::Clearance => detector.apply_notice(&notice("", Verdict::Cleared, 0), at(s)),
    }
    None
}

/// Guards against the refusal of sound requests that were at work on targets which crashed for
/// another reason, at the same time or one after another, and against refusals that no answer ends.
#[test]
fn detector_refuses_only_after_a_test_crashed_its_target() {
    use State::{Accepted, HeldBack, Refused};
    use Step::{
        Answer, Clearance, Crash, EarlyCrash, HoldBack, Pause, Refusal, Send, Suspicion, Test,
        TestElsewhere,
    };

    struct Case {
        steps: &'static [Step],
        state: State,
    }
    let cases = [
        Case {
            steps: &[Crash("a"), Send],
            state: Accepted,
        },
        Case {
            steps: &[Crash("a"), Crash("a")],
            state: Accepted,
        },
        Case {
            steps: &[Crash("a"), Crash("b")],
            state: HeldBack,
        },
        Case {
            steps: &[Crash("a"), Crash("b"), Pause, Send],
            state: HeldBack,
        },
        Case {
            steps: &[EarlyCrash("a"), EarlyCrash("b"), EarlyCrash("c")],
            state: Accepted,
        },
        Case {
            steps: &[EarlyCrash("a"), EarlyCrash("b"), Crash("b")],
            state: Accepted,
        },
        Case {
            steps: &[EarlyCrash("a"), EarlyCrash("b"), Crash("c")],
            state: HeldBack,
        },
        Case {
            steps: &[Suspicion("a", 1), Crash("b")],
            state: HeldBack,
        },
        Case {
            steps: &[Suspicion("a", 1), EarlyCrash("b")],
            state: Accepted,
        },
        // The daemon that reports the crash of the second target did not know of the first.
        Case {
            steps: &[Crash("a"), Suspicion("b", 1)],
            state: Accepted,
        },
        Case {
            steps: &[Suspicion("a", 1), Suspicion("b", 1)],
            state: Accepted,
        },
        Case {
            steps: &[HoldBack("b")],
            state: HeldBack,
        },
        Case {
            steps: &[Refusal("b")],
            state: Refused,
        },
        // Requests that were sent before are at work on more targets.
        Case {
            steps: &[Crash("a"), Crash("b"), EarlyCrash("c"), EarlyCrash("d")],
            state: HeldBack,
        },
        // One request at a time is a test.
        Case {
            steps: &[Crash("a"), Crash("b"), Pause, Pause, Pause],
            state: Accepted,
        },
        Case {
            steps: &[Crash("a"), Crash("b"), Pause, Pause, Test, Send],
            state: HeldBack,
        },
        Case {
            steps: &[Crash("a"), Crash("b"), Pause, Pause, TestElsewhere, Send],
            state: HeldBack,
        },
        Case {
            steps: &[HoldBack("b"), Pause, Pause, Test, Pause, Pause, Test],
            state: HeldBack,
        },
        Case {
            steps: &[Crash("a"), Crash("b"), Pause, Pause, Test, Crash("c")],
            state: Refused,
        },
        // A test may meet a target that crashed before.
        Case {
            steps: &[Crash("a"), Crash("b"), Pause, Pause, Test, Crash("a")],
            state: Refused,
        },
        Case {
            steps: &[Crash("a"), Crash("b"), Pause, Pause, Test, Answer],
            state: Accepted,
        },
        Case {
            steps: &[Refusal("b"), Pause, Pause, Pause, Pause, Send],
            state: Refused,
        },
        Case {
            steps: &[Crash("a"), Answer, Crash("b")],
            state: Accepted,
        },
        Case {
            steps: &[Crash("a"), Crash("b"), Answer],
            state: Accepted,
        },
        Case {
            steps: &[Refusal("b"), Clearance],
            state: Accepted,
        },
        Case {
            steps: &[Refusal("b"), Clearance, Crash("c"), Crash("d")],
            state: HeldBack,
        },
        Case {
            steps: &[TestElsewhere],
            state: Accepted,
        },
    ];
    for (i, case) in cases.iter().enumerate() {
        let mut detector = PoisonDetector::default();
        for (step, s) in case.steps.iter().zip(10..) {
            perform(&mut detector, *step, s);
        }
        let last = 9 + case.steps.len() as u64;
        assert_eq!(state(&detector, last), case.state, "{i}");
        assert_eq!(state(&detector, last + 301), Accepted, "{i}");
    }
}

/// Guards against callers that are told to return at a time at which they are refused again.
#[test]
fn refusal_tells_when_the_request_may_be_accepted() {
    struct Case {
        steps: &'static [Step],
        /// Time of the check, in seconds.
        at_s: u64,
        refusal: Option<Refusal>,
    }
    use Step::{Crash, Pause, Test};
    let held_back = |s| Some(Refusal::HeldBack(Duration::from_secs(s)));
    let confirmed = |s| Some(Refusal::Confirmed(Duration::from_secs(s)));
    let cases = [
        Case {
            steps: &[Crash("a"), Crash("b")],
            at_s: 12,
            refusal: held_back(2),
        },
        Case {
            steps: &[Crash("a"), Crash("b")],
            at_s: 14,
            refusal: None,
        },
        Case {
            steps: &[Crash("a"), Crash("b"), Pause, Pause, Test],
            at_s: 15,
            refusal: held_back(2),
        },
        Case {
            steps: &[Crash("a"), Crash("b"), Pause, Pause, Test, Crash("c")],
            at_s: 25,
            refusal: confirmed(290),
        },
    ];
    for (i, case) in cases.iter().enumerate() {
        let mut detector = PoisonDetector::default();
        for (step, s) in case.steps.iter().zip(10..) {
            perform(&mut detector, *step, s);
        }
        let refusal = detector.refusal(crash_fingerprint(), at(case.at_s));
        assert_eq!(refusal, case.refusal, "{i}");
    }
}

#[test]
fn answer_clears_a_request_at_all_daemons() {
    use Step::{Answer, Crash, HoldBack, Refusal, Suspicion};

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
            steps: &[HoldBack("a"), Answer],
            reported: true,
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
