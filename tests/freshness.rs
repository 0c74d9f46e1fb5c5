//! Proof of freshness of the configuration, with a simulated store.

use std::time::Duration;

use chervillug::{clock::BootTime, routing::Freshness};
use quickcheck::{quickcheck, Arbitrary, Gen};

/// Durations of one call in milliseconds: the way to the store, the wait there, the way back, and
/// the pause after it.
#[derive(Debug, Clone, Copy)]
struct Call {
    outbound: u64,
    wait: u64,
    inbound: u64,
    pause: u64,
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            outbound: u64::arbitrary(g) % 400,
            wait: u64::arbitrary(g) % 3000,
            inbound: u64::arbitrary(g) % 400,
            pause: u64::arbitrary(g) % 500,
        }
    }
}

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(ms))
}

/// Simulates calls starting at 50 s; the store's clock is `ahead` ms ahead of the host's clock.
fn proof_stays_within_call(calls: &[Call], ahead: u16) -> bool {
    let mut freshness = Freshness::default();
    let mut now = 50_000;
    let mut newest_answer = 0;
    for call in calls {
        let sent = now;
        let answered = sent + call.outbound + call.wait;
        let received = answered + call.inbound;
        let store_time = Duration::from_millis(answered + u64::from(ahead));
        freshness.record_answer(at(sent), at(received), store_time);
        newest_answer = newest_answer.max(answered);
        let age = freshness.age(at(received)).expect("no proof");
        let proven_at = received - age.as_millis() as u64;
        // Allows one millisecond for rounding.
        if proven_at > newest_answer + 1 || proven_at + 1 < sent {
            return false;
        }
        now = received + call.pause;
    }
    true
}

#[test]
fn proof_is_never_newer_than_the_answer_and_never_older_than_the_call() {
    fn holds(calls: Vec<Call>, ahead: u16) -> bool {
        proof_stays_within_call(&calls, ahead)
    }
    quickcheck(holds as fn(Vec<Call>, u16) -> bool);
}

#[test]
fn long_poll_proves_freshness_as_of_its_answer() {
    let mut freshness = Freshness::default();
    freshness.record_answer(at(10_000), at(10_004), Duration::from_millis(502));
    freshness.record_answer(at(10_010), at(12_414), Duration::from_millis(2912));
    let age = freshness.age(at(12_414)).expect("no proof");
    assert!(age < Duration::from_millis(10), "{age:?}");
}

#[test]
fn proof_of_a_peer_is_dated_before_the_request_for_it() {
    let mut freshness = Freshness::default();
    freshness.adopt_peer_proof(at(10_000), Duration::from_millis(700));
    let age = freshness.age(at(10_500));
    assert_eq!(age, Some(Duration::from_millis(1200)));
}
