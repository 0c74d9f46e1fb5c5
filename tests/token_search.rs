//! The search for one token among the holders of all slices, as a decision without a network.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    limit::Admission,
    quota::{
        HolderAddress, SearchHolders, SearchStep, SliceHolders, TakeOutcome, TokenSearch,
        USUAL_TIMEOUT,
    },
};

const START: BootTime = BootTime::from_duration(Duration::from_secs(1000));

fn at(ms: u64) -> BootTime {
    START + Duration::from_millis(ms)
}

fn addresses(centres: &[&str]) -> Vec<HolderAddress> {
    let address = |centre: &&str| HolderAddress {
        centre: (*centre).to_owned(),
        host: format!("host-{centre}").into(),
    };
    centres.iter().map(address).collect()
}

/// How a holder responds to the request for a token.
#[derive(Debug, Clone, Copy)]
enum Response {
    Granted,
    Exceeded,
    /// The connection is refused, or the daemon does not hold the slice.
    NotHolder,
}

struct Case {
    name: &'static str,
    available: &'static [&'static str],
    silent: &'static [&'static str],
    may_respond_late: bool,
    deadline_ms: u64,
    /// Response of a data centre's holder and the time after the request at which it arrives.
    responses: &'static [(&'static str, u64, Response)],
    /// Data centres in the order in which they are asked.
    asked: &'static [&'static str],
    result: Response,
    unavailable: bool,
    took_ms: u64,
}

const CASES: [Case; 9] = [
    Case {
        name: "local holder grants",
        available: &["a", "b"],
        silent: &[],
        may_respond_late: true,
        deadline_ms: 2000,
        responses: &[("a", 5, Response::Granted), ("b", 5, Response::Granted)],
        asked: &["a"],
        result: Response::Granted,
        unavailable: false,
        took_ms: 5,
    },
    Case {
        name: "silent holder delays the next one by the usual timeout only",
        available: &["a", "b"],
        silent: &[],
        may_respond_late: true,
        deadline_ms: 2000,
        responses: &[("b", 10, Response::Granted)],
        asked: &["a", "b"],
        result: Response::Granted,
        unavailable: false,
        took_ms: 130,
    },
    Case {
        name: "refusal is final while another holder is silent",
        available: &["a", "b"],
        silent: &[],
        may_respond_late: true,
        deadline_ms: 2000,
        responses: &[("b", 10, Response::Exceeded)],
        asked: &["a", "b"],
        result: Response::Exceeded,
        unavailable: false,
        took_ms: 130,
    },
    Case {
        name: "late response counts if no holder responds in time",
        available: &["a", "b"],
        silent: &[],
        may_respond_late: true,
        deadline_ms: 2000,
        responses: &[("a", 300, Response::Granted), ("b", 350, Response::Granted)],
        asked: &["a", "b"],
        result: Response::Granted,
        unavailable: false,
        took_ms: 300,
    },
    Case {
        name: "paused holders are asked before the rejection",
        available: &[],
        silent: &["a", "b"],
        may_respond_late: true,
        deadline_ms: 2000,
        responses: &[("a", 250, Response::Granted)],
        asked: &["a", "b"],
        result: Response::Granted,
        unavailable: false,
        took_ms: 250,
    },
    Case {
        name: "paused holder that is gone does not delay the next one",
        available: &[],
        silent: &["a", "b"],
        may_respond_late: true,
        deadline_ms: 2000,
        responses: &[("a", 1, Response::NotHolder), ("b", 200, Response::Granted)],
        asked: &["a", "b"],
        result: Response::Granted,
        unavailable: false,
        took_ms: 201,
    },
    Case {
        name: "half of the time until the deadline is left for the target",
        available: &["a"],
        silent: &["b"],
        may_respond_late: true,
        deadline_ms: 800,
        responses: &[],
        asked: &["a", "b"],
        result: Response::NotHolder,
        unavailable: true,
        took_ms: 400,
    },
    Case {
        name: "no longer wait for holders that were silent for long",
        available: &["a"],
        silent: &[],
        may_respond_late: false,
        deadline_ms: 2000,
        responses: &[],
        asked: &["a"],
        result: Response::NotHolder,
        unavailable: true,
        took_ms: 120,
    },
    Case {
        name: "all holders gone",
        available: &[],
        silent: &[],
        may_respond_late: false,
        deadline_ms: 2000,
        responses: &[],
        asked: &[],
        result: Response::NotHolder,
        unavailable: true,
        took_ms: 0,
    },
];

/// Runs a search in steps of 1 ms and returns who was asked, the result and the time that it took.
fn run(case: &Case) -> (Vec<String>, Admission, u64) {
    let holders = SearchHolders {
        available: addresses(case.available),
        silent: addresses(case.silent),
        may_respond_late: case.may_respond_late,
    };
    let mut search = TokenSearch::new(holders, at(case.deadline_ms), at(0));
    let mut asked: Vec<(String, u64)> = Vec::new();
    for ms in 0..10_000 {
        for (centre, sent) in &asked {
            let responses = case.responses.iter();
            for (_, _, response) in responses.filter(|r| r.0 == *centre && sent + r.1 == ms) {
                let outcome = match response {
                    Response::Granted => TakeOutcome::Granted,
                    Response::Exceeded => TakeOutcome::Exceeded(Duration::from_millis(70)),
                    Response::NotHolder => TakeOutcome::NotHolder,
                };
                search.record(centre, outcome);
            }
        }
        loop {
            match search.next(at(ms)) {
                SearchStep::Ask(holder) => asked.push((holder.centre, ms)),
                SearchStep::Wait(until) => {
                    assert!(until > at(ms), "{}: busy loop at {ms} ms", case.name);
                    break;
                }
                SearchStep::Done(admission) => {
                    return (asked.into_iter().map(|a| a.0).collect(), admission, ms);
                }
            }
        }
    }
    panic!("{}: the search does not end", case.name);
}

/// Guards against the rejection of requests within plan by a daemon whose link is busy, and against
/// delays by holders that are known to be gone.
#[test]
fn search_asks_again_before_it_rejects() {
    for case in &CASES {
        let (asked, admission, took_ms) = run(case);
        assert_eq!(asked, case.asked, "{}", case.name);
        assert_eq!(took_ms, case.took_ms, "{}", case.name);
        let is_expected = match (case.result, admission) {
            (Response::Granted, Admission::Granted(_)) => true,
            (Response::Exceeded, Admission::Exceeded(_)) => true,
            (_, Admission::Unavailable) => case.unavailable,
            _ => false,
        };
        assert!(is_expected, "{}: {admission:?}", case.name);
    }
}

fn centres(holders: &[HolderAddress]) -> Vec<&str> {
    holders.iter().map(|h| h.centre.as_str()).collect()
}

/// Guards against waiting for a holder that was found to be gone, and against asking it first.
#[test]
fn paused_holders_are_asked_again_unless_they_are_gone() {
    let holders = SliceHolders::default();
    for centre in ["a", "b", "c"] {
        holders.set(centre, &format!("host-{centre}"), 1.into());
    }
    holders.record_silent("a", "host-a", at(0));
    holders.record_silent("b", "host-b", at(200));
    holders.record_unavailable("c", "host-c", at(200));
    let paused = holders.search_holders("a", at(300));
    assert!(paused.available.is_empty());
    assert_eq!(centres(&paused.silent), ["b", "a"]);
    assert!(paused.may_respond_late);

    // The pauses are over; the holder that responds is asked first, although it is a remote one.
    holders.record_available("b", "host-b", at(800));
    let resumed = holders.search_holders("a", at(1000));
    assert_eq!(centres(&resumed.available)[..2], ["b", "a"]);

    // Without any response for seconds, the link is down rather than busy.
    let silent = SliceHolders::default();
    silent.set("a", "host-a", 1.into());
    for ms in (0..4000).step_by(500) {
        silent.record_silent("a", "host-a", at(ms));
    }
    assert!(!silent.search_holders("a", at(4000)).may_respond_late);
    assert!(silent.search_holders("a", at(2000)).may_respond_late);
}

/// Guards against calls that end before the search does, whose late responses would be lost.
#[test]
fn calls_last_as_long_as_the_search() {
    let holders = SearchHolders {
        available: addresses(&["a"]),
        silent: Vec::new(),
        may_respond_late: true,
    };
    let search = TokenSearch::new(holders.clone(), at(1000), at(0));
    assert_eq!(search.call_timeout(at(100)), Duration::from_millis(400));
    assert_eq!(search.call_timeout(at(490)), USUAL_TIMEOUT);
    let long = TokenSearch::new(holders, at(30_000), at(0));
    assert_eq!(long.call_timeout(at(0)), Duration::from_secs(1));
}
