//! Eras of the store: validation of what it states, and how versions are encoded between daemons.

use std::{mem::ManuallyDrop, rc::Rc, time::Duration};

use bytes::Bytes;
use chervillug::{
    metrics::{Counter, Metrics},
    platform::RowClient,
    store::{
        Era, EraCheck, EraFault, EraTracker, FeedResponse, RowPut, RowStore as _, StoreError,
        StoreVersion, WriteOutcome,
    },
};
use monoio::{LegacyDriver, Runtime, RuntimeBuilder};
use standins::{free_address, RowStore, RowStoreFaults};

fn runtime() -> ManuallyDrop<Runtime<monoio::time::TimeDriver<LegacyDriver>>> {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    ManuallyDrop::new(builder.build().expect("a runtime"))
}

/// Guards against a late response of an earlier era that counts as one of a store that went back,
/// and against an invalid era that changes the one in force.
#[test]
fn era_is_current_new_late_or_invalid() {
    struct Case {
        name: &'static str,
        /// Headers of earlier responses.
        before: &'static [&'static str],
        /// Number of them that had arrived before the call was sent.
        sent_after: usize,
        stated: Option<&'static str>,
        check: EraCheck,
    }
    let case = |name, before, sent_after, stated, check| Case {
        name,
        before,
        sent_after,
        stated,
        check,
    };
    let invalid = EraCheck::Invalid;
    let cases = [
        case("never stated", &[], 0, None, EraCheck::Current),
        case("first one is 0", &[], 0, Some("0"), EraCheck::New),
        case("same", &["4"], 1, Some("4"), EraCheck::Current),
        case("next", &["4"], 1, Some("5"), EraCheck::New),
        case("several at once", &["4"], 1, Some("9"), EraCheck::New),
        case("late", &["4", "5"], 1, Some("4"), EraCheck::Late),
        case("late, unstated", &["4"], 0, None, EraCheck::Late),
        case(
            "back",
            &["4", "5"],
            2,
            Some("4"),
            invalid(EraFault::WentBack),
        ),
        case(
            "far back",
            &["4", "5"],
            1,
            Some("3"),
            invalid(EraFault::WentBack),
        ),
        case("missing", &["4"], 1, None, invalid(EraFault::Missing)),
        case("empty", &["4"], 1, Some(""), invalid(EraFault::NotANumber)),
        case("text", &[], 0, Some("x4"), invalid(EraFault::NotANumber)),
        case("sign", &["4"], 1, Some("+5"), invalid(EraFault::NotANumber)),
        case(
            "negative",
            &["4"],
            1,
            Some("-5"),
            invalid(EraFault::NotANumber),
        ),
        case(
            "fraction",
            &["4"],
            1,
            Some("5.0"),
            invalid(EraFault::NotANumber),
        ),
        case(
            "two",
            &["4"],
            1,
            Some("5, 5"),
            invalid(EraFault::NotANumber),
        ),
        case(
            "too large",
            &["4"],
            1,
            Some("18446744073709551616"),
            invalid(EraFault::NotANumber),
        ),
    ];
    for case in cases {
        let mut tracker = EraTracker::default();
        let mut sent_in = tracker.newest();
        for (i, stated) in case.before.iter().enumerate() {
            assert_eq!(
                tracker.check(sent_in, Some(stated.as_bytes())),
                EraCheck::New
            );
            if i < case.sent_after {
                sent_in = tracker.newest();
            }
        }
        let before = tracker.newest();
        let check = tracker.check(sent_in, case.stated.map(str::as_bytes));
        assert_eq!(check, case.check, "{}", case.name);
        let changed = tracker.newest() != before;
        assert_eq!(changed, check == EraCheck::New, "{}", case.name);
    }
}

/// Guards against messages that daemons of the previous build cannot decode although the store
/// states no era.
#[test]
fn version_without_an_era_is_encoded_as_a_number() {
    for number in [0, 1, 300, u64::MAX] {
        let version = StoreVersion::from(number);
        let encoded = rmp_serde::to_vec(&version).expect("encoded");
        assert_eq!(encoded, rmp_serde::to_vec(&number).expect("encoded"));
        let decoded: StoreVersion = rmp_serde::from_slice(&encoded).expect("decoded");
        assert_eq!(decoded, version);
        let version = StoreVersion::new(Era::stated(number), 7);
        let encoded = rmp_serde::to_vec(&version).expect("encoded");
        let decoded: StoreVersion = rmp_serde::from_slice(&encoded).expect("decoded");
        assert_eq!(decoded, version);
        assert!(version > StoreVersion::from(u64::MAX));
    }
    assert!(StoreVersion::new(Era::stated(2), 1) > StoreVersion::new(Era::stated(1), 9));
}

fn count(metrics: &Metrics, counter: Counter) -> u64 {
    let mut count = 0;
    metrics.for_each_counter(|name, n| {
        if name == counter.name() {
            count = n;
        }
    });
    count
}

fn put(value: &'static str) -> RowPut {
    RowPut {
        table: "t",
        part: String::new(),
        key: "k".to_owned(),
        expected: None,
        value: Bytes::from(value),
    }
}

#[test]
fn client_states_the_era_of_reads_and_writes_and_fails_on_invalid_ones() {
    let store = RowStore::start(free_address().expect("an address")).expect("a store");
    let metrics = Rc::<Metrics>::default();
    let client = RowClient::new(store.address(), metrics.clone());
    runtime().block_on(async {
        let page = client.read("t", "", "").await.expect("a page");
        assert_eq!(page.version, StoreVersion::from(0));
        store.set_era(Some(4));
        let copy = store.copy();
        let written = client.write(&[put("a")]).await;
        let version = StoreVersion::new(Era::stated(4), 1);
        assert_eq!(written, Ok(WriteOutcome::Committed { version }));
        store.roll_back(&copy);
        let feed = client.poll_changes("t", 1, Duration::ZERO).await;
        assert_eq!(feed, Ok(FeedResponse::HistoryCompacted));
        assert_eq!(client.era(), Era::stated(5));
        for stated in ["4", "", "five", "-1"] {
            store.set_stated_era(Some(stated));
            let read = client.read("t", "", "").await;
            assert_eq!(read.map(|_| ()), Err(StoreError::BadAnswer), "{stated}");
            let written = client.write(&[put("b")]).await;
            assert_eq!(written, Err(StoreError::BadAnswer), "{stated}");
        }
        store.set_stated_era(None);
        store.set_era(None);
        let read = client.read("t", "", "").await;
        assert_eq!(read.map(|_| ()), Err(StoreError::BadAnswer), "missing");
        assert_eq!(client.era(), Era::stated(5));
    });
    assert_eq!(count(&metrics, Counter::StoreErasInvalid), 9);
    assert_eq!(count(&metrics, Counter::StoreEras), 2);
}

/// Guards against rows of an earlier era that are taken for current ones, as their response was
/// delayed until after the rollback.
#[test]
fn response_delayed_beyond_a_rollback_is_a_failed_call() {
    let store = RowStore::start(free_address().expect("an address")).expect("a store");
    store.set_era(Some(1));
    let copy = store.copy();
    store.put("t", "k", b"lost");
    let metrics = Rc::<Metrics>::default();
    let client = RowClient::new(store.address(), metrics.clone());
    runtime().block_on(async {
        client.read("t", "", "").await.expect("a page");
        store.set_faults(RowStoreFaults {
            response_delay: Duration::from_millis(400),
            ..RowStoreFaults::default()
        });
        let late = client.read("t", "", "");
        let newer = async {
            monoio::time::sleep(Duration::from_millis(150)).await;
            store.set_faults(RowStoreFaults::default());
            store.roll_back(&copy);
            client.read("t", "", "").await
        };
        let (late, newer) = monoio::join!(late, newer);
        assert_eq!(late, Err(StoreError::BadAnswer));
        assert!(newer.expect("a page").rows.is_empty());
    });
    assert_eq!(client.era(), Era::stated(2));
    assert_eq!(count(&metrics, Counter::StoreErasInvalid), 0);
}
