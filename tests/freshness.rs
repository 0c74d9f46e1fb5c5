//! The proof that the configuration held is the newest one, against a simulated store.

use std::time::Duration;

use chervillug::{clock::BootTime, routing::Freshness};
use quickcheck::{quickcheck, Arbitrary, Gen};

/// One call: how long it travels there, waits and travels back, and the pause behind it, ms.
#[derive(Debug, Clone, Copy)]
struct Call {
    there: u64,
    wait: u64,
    back: u64,
    pause: u64,
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            there: u64::arbitrary(g) % 400,
            wait: u64::arbitrary(g) % 3000,
            back: u64::arbitrary(g) % 400,
            pause: u64::arbitrary(g) % 500,
        }
    }
}

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(ms))
}

/// Runs calls from 50 s on; the store's clock runs `ahead` ms ahead of the host's.
fn never_fresher_than_the_answer(calls: &[Call], ahead: u16) -> bool {
    let mut freshness = Freshness::default();
    let mut now = 50_000;
    let mut newest_formed = 0;
    for call in calls {
        let sent = now;
        let formed = sent + call.there + call.wait;
        let received = formed + call.back;
        let store_time = Duration::from_millis(formed + u64::from(ahead));
        freshness.record_answer(at(sent), at(received), store_time);
        newest_formed = newest_formed.max(formed);
        let age = freshness.age(at(received)).expect("a proof");
        let claimed = received - age.as_millis() as u64;
        // One millisecond for rounding.
        if claimed > newest_formed + 1 || claimed + 1 < sent {
            return false;
        }
        now = received + call.pause;
    }
    true
}

#[test]
fn proof_is_never_newer_than_the_answer_and_never_older_than_the_call() {
    fn holds(calls: Vec<Call>, ahead: u16) -> bool {
        never_fresher_than_the_answer(&calls, ahead)
    }
    quickcheck(holds as fn(Vec<Call>, u16) -> bool);
}

#[test]
fn waiting_call_proves_the_moment_of_its_answer() {
    let mut freshness = Freshness::default();
    freshness.record_answer(at(10_000), at(10_004), Duration::from_millis(502));
    freshness.record_answer(at(10_010), at(12_414), Duration::from_millis(2912));
    let age = freshness.age(at(12_414)).expect("a proof");
    assert!(age < Duration::from_millis(10), "{age:?}");
}

#[test]
fn proof_of_another_daemon_counts_from_before_the_question() {
    let mut freshness = Freshness::default();
    freshness.adopt_peer_proof(at(10_000), Duration::from_millis(700));
    let age = freshness.age(at(10_500));
    assert_eq!(age, Some(Duration::from_millis(1200)));
}
