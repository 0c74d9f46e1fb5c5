//! The handover of a slice: the order of the offers, the levels of the buckets, and what other
//! daemons know of the holder.

use std::{rc::Rc, time::Duration};

use chervillug::{
    catalog::Plan,
    clock::BootTime,
    peer::{decode, encode},
    quota::{
        HandoverMessage, HandoverPlan, HandoverStep, HolderChange, LocalSlice, ReleasedSlice,
        SliceBuckets, SliceHolders, SliceShare, SliceStatus, TakeOutcome, TokenResponse,
    },
    store::StoreVersion,
};
use quickcheck::{quickcheck, TestResult};

const SHARE: SliceShare = SliceShare {
    slices: 2,
    slack: 0.0,
};

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(1_000_000 + ms))
}

fn plan(rate_per_s: f64, burst: u32) -> Plan {
    Plan {
        plan: "w".to_owned(),
        rate_per_s,
        burst,
    }
}

/// Response of a host to an offer.
#[derive(Debug, Clone, Copy)]
enum Response {
    Holds,
    Refuses,
    None,
}

struct Case {
    name: &'static str,
    candidates: &'static [&'static str],
    responses: &'static [Response],
    time_ms: u64,
    offered: &'static [&'static str],
    holder: Option<&'static str>,
    took_ms: u64,
}

const CASES: [Case; 6] = [
    Case {
        name: "first candidate takes over",
        candidates: &["a", "b"],
        responses: &[Response::Holds],
        time_ms: 5000,
        offered: &["a"],
        holder: Some("a"),
        took_ms: 10,
    },
    Case {
        name: "silent candidate",
        candidates: &["a", "b"],
        responses: &[Response::None, Response::Holds],
        time_ms: 5000,
        offered: &["a", "b"],
        holder: Some("b"),
        took_ms: 510,
    },
    Case {
        name: "candidate that leaves itself",
        candidates: &["a", "b"],
        responses: &[Response::Refuses, Response::Holds],
        time_ms: 5000,
        offered: &["a", "b"],
        holder: Some("b"),
        took_ms: 20,
    },
    Case {
        name: "no candidate takes over",
        candidates: &["a", "b"],
        responses: &[Response::None, Response::Refuses],
        time_ms: 5000,
        offered: &["a", "b"],
        holder: None,
        took_ms: 510,
    },
    Case {
        name: "end of the shutdown",
        candidates: &["a", "b", "c"],
        responses: &[Response::None, Response::None, Response::Holds],
        time_ms: 700,
        offered: &["a", "b"],
        holder: None,
        took_ms: 700,
    },
    Case {
        name: "no candidate",
        candidates: &[],
        responses: &[],
        time_ms: 5000,
        offered: &[],
        holder: None,
        took_ms: 0,
    },
];

/// Guards against a handover that ends at the first candidate that does not respond, and against
/// one that outlasts the shutdown.
#[test]
fn slice_is_offered_until_a_candidate_holds_it() {
    for case in &CASES {
        let candidates = case.candidates.iter().map(|h| Rc::from(*h)).collect();
        let mut plan = HandoverPlan::new(candidates, at(case.time_ms));
        let mut now = 0;
        let mut offered: Vec<String> = Vec::new();
        let holder = loop {
            match plan.next(at(now)) {
                HandoverStep::Offer { host, timeout } => {
                    match case.responses[offered.len()] {
                        Response::Holds => plan.record_holder(&host, 7.into()),
                        Response::Refuses => {}
                        Response::None => now += timeout.as_millis() as u64 - 10,
                    }
                    now += 10;
                    offered.push(host.to_string());
                }
                HandoverStep::Done { host, version } => {
                    assert_eq!(version, 7.into());
                    break Some(host.to_string());
                }
                HandoverStep::Failed => break None,
            }
        };
        assert_eq!(offered, case.offered, "{}", case.name);
        assert_eq!(holder.as_deref(), case.holder, "{}", case.name);
        assert_eq!(now, case.took_ms, "{}", case.name);
    }
}

/// Guards against levels that give a workspace more tokens at a handover than one bucket would, and
/// against levels that take tokens away from it. A token that is due at the very time of a request
/// may be granted one request earlier or later, because the levels are rounded.
#[test]
fn handed_over_buckets_grant_what_one_holder_would() {
    fn holds(rate: u8, burst: u8, gaps: Vec<u8>, handovers: Vec<u16>, first: bool) -> TestResult {
        if rate == 0 || burst < 2 || gaps.is_empty() {
            return TestResult::discard();
        }
        let plan = plan(f64::from(rate), u32::from(burst));
        let mut kept = SliceBuckets::new(SHARE, at(0), first);
        let mut moved = SliceBuckets::new(SHARE, at(0), first);
        let mut now = 0;
        let mut handovers = handovers.into_iter().map(u64::from).collect::<Vec<_>>();
        handovers.sort_unstable();
        let mut ahead = [0_i32; 2];
        for (i, gap) in gaps.iter().cycle().take(200).enumerate() {
            now += u64::from(*gap);
            while handovers.first().is_some_and(|h| *h <= now) {
                let time = at(handovers.remove(0));
                let levels = moved.levels(time);
                let sent = encode(&levels).and_then(|bytes| decode(&bytes));
                moved = SliceBuckets::with_levels(SHARE, time, sent.expect("not decoded"));
            }
            let workspace = ["v", "w"][i % 2];
            let by_one = kept.take(workspace, &plan, at(now)).is_ok();
            let by_many = moved.take(workspace, &plan, at(now)).is_ok();
            ahead[i % 2] += i32::from(by_many) - i32::from(by_one);
            if ahead[i % 2].abs() > 1 {
                return TestResult::error(format!("{ahead:?} at {now}"));
            }
        }
        TestResult::passed()
    }
    quickcheck(holds as fn(u8, u8, Vec<u8>, Vec<u16>, bool) -> TestResult);
}

/// Guards against levels that exceed those of a single holder where there are too many to send.
#[test]
fn levels_that_are_not_sent_count_as_empty() {
    let plan = plan(1.0, 8);
    let mut buckets = SliceBuckets::new(SHARE, at(0), true);
    for i in 0..2100 {
        let takes = if i < 100 { 3 } else { 1 };
        for _ in 0..takes {
            assert!(buckets.take(&format!("w-{i}"), &plan, at(0)).is_ok());
        }
    }
    let levels = buckets.levels(at(0));
    assert_eq!(levels.workspaces.len(), 2000);
    let mut successor = SliceBuckets::with_levels(SHARE, at(0), levels);
    assert!(successor.take("w-0", &plan, at(0)).is_err());
    assert!(successor.take("unused", &plan, at(0)).is_err());
    assert!(successor.take("w-2000", &plan, at(0)).is_ok());
}

/// Guards against a holder that grants tokens after it has released its slice, and against a
/// successor that grants some before its write is committed.
#[test]
fn no_token_is_granted_between_release_and_commit() {
    let plan = plan(0.002, 10);
    let (holder, successor) = (LocalSlice::new(SHARE), LocalSlice::new(SHARE));
    holder.with_lease(at(0), |l| l.observe(0, false, at(0)));
    holder.with_lease(at(0), |l| l.record_write(7, at(0)));
    for _ in 0..2 {
        assert_eq!(holder.take("w", &plan, at(1)), TakeOutcome::Granted);
    }
    let (version, levels) = holder.release(at(2)).expect("not held");
    assert_eq!(version, 7.into());
    assert_eq!(holder.take("w", &plan, at(2)), TakeOutcome::NotHolder);
    assert_eq!(holder.release(at(2)), None, "released twice");

    let released = ReleasedSlice {
        data_centre: "a".to_owned(),
        version,
        levels,
    };
    assert!(successor.accept(released, at(3)));
    assert_eq!(successor.take("w", &plan, at(3)), TakeOutcome::NotHolder);
    successor.with_lease(at(4), |l| l.record_write(8, at(3)));
    // The share of the burst is 5 tokens, of which the holder has granted 2.
    let granted = (0..10).filter(|_| successor.take("w", &plan, at(5)) == TakeOutcome::Granted);
    assert_eq!(granted.count(), 3);
}

/// Guards against levels that are used although the row changed between release and commit.
#[test]
fn levels_are_dropped_if_another_daemon_wrote_the_row() {
    let plan = plan(0.002, 10);
    let successor = LocalSlice::new(SHARE);
    let mut first = SliceBuckets::new(SHARE, at(0), true);
    let released = ReleasedSlice {
        data_centre: "a".to_owned(),
        version: 7.into(),
        levels: first.levels(at(0)),
    };
    assert!(successor.accept(released, at(1)));
    successor.with_lease(at(2), |l| l.observe(9, false, at(2)));
    successor.with_lease(at(20_000), |l| l.record_write(10, at(20_000)));
    let taken = successor.take("w", &plan, at(20_000));
    assert!(matches!(taken, TakeOutcome::Exceeded(_)), "{taken:?}");
}

fn change(host: &str, version: impl Into<StoreVersion>) -> HolderChange {
    HolderChange {
        data_centre: "a".to_owned(),
        host: host.to_owned(),
        version: version.into(),
        relayed: false,
    }
}

/// Guards against a former holder that replaces the new one, because an announcement or a row of the
/// store arrives late.
#[test]
fn newest_known_holder_is_kept() {
    let holders = SliceHolders::default();
    let holder = || holders.holder("a").map(|h| h.to_string());
    holders.set_from_row("a", "first", 5.into(), at(0));
    holders.announce(&change("second", 7), at(100));
    assert_eq!(holder().as_deref(), Some("second"));
    holders.announce(&change("first", 5), at(200));
    assert_eq!(holder().as_deref(), Some("second"));
    holders.announce(&change("third", 9), at(300));
    holders.set_from_row("a", "second", 7.into(), at(1000));
    assert_eq!(holder().as_deref(), Some("third"), "a late row");
    // Rows decide in the end, also if their versions start again.
    holders.set_from_row("a", "fourth", 3.into(), at(20_000));
    assert_eq!(holder().as_deref(), Some("fourth"));
    // A response of a former holder says nothing about the present one.
    holders.record_unavailable("a", "third", at(20_000));
    assert!(!holders.may_lack_holder("a", at(20_001)));
}

/// Guards against messages that change their format when they are sent.
#[test]
fn messages_survive_encoding() {
    let messages = [
        HandoverMessage::Moved(change("b", 9)),
        HandoverMessage::ReaderLeaving,
        HandoverMessage::Release(ReleasedSlice {
            data_centre: "a".to_owned(),
            version: 7.into(),
            levels: SliceBuckets::new(SHARE, at(0), true).levels(at(10)),
        }),
    ];
    for message in messages {
        let bytes = encode(&message).expect("not encoded");
        assert_eq!(decode(&bytes), Some(message));
    }
    for (status, length) in [(None, 1), (Some(change("b", 9)), 2)] {
        let status = SliceStatus {
            held: false,
            moved: status,
        };
        let bytes = encode(&status).expect("not encoded");
        // Without a new holder the fields are those of earlier builds.
        assert_eq!(bytes[0], 0x90 + length, "not an array of {length}");
        assert_eq!(decode(&bytes), Some(status));
    }
    let response = TokenResponse::Moved(change("b", 9));
    let bytes = encode(&response).expect("not encoded");
    assert_eq!(decode(&bytes), Some(response));
}
