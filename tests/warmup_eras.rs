//! When a target counts as cold where the store comes back from an older copy.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    health::WarmupState,
    store::{Era, StoreVersion},
};

const WARMUP: Duration = Duration::from_secs(12);

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(1_000_000 + ms))
}

fn version(era: u64, number: u64) -> StoreVersion {
    StoreVersion::new(Era::stated(era), number)
}

enum News {
    /// An entry of this era and version that states this time, s.
    Entry(u64, u64, u64),
    /// An entry as the first read of this era found it, with its version and the time that it states, s.
    Restored(u64, u64, u64),
    /// The end of an evacuation, with its era and version.
    Return(u64, u64),
}

struct Case {
    name: &'static str,
    /// Time of each news, ms.
    news: &'static [(u64, News)],
    /// End of the warm-up, ms.
    cold_until: Option<u64>,
}

/// Guards against targets that count as warm by an entry that was written in the lost seconds or before
/// them, and against targets that become cold again because the store came back.
#[test]
fn statements_are_compared_within_an_era() {
    let cases = [
        Case {
            name: "other entry with the same version in a new era",
            news: &[(0, News::Entry(1, 5, 0)), (4000, News::Entry(2, 5, 10))],
            cold_until: Some(14_000),
        },
        Case {
            name: "entry of the older copy, unchanged",
            news: &[(0, News::Entry(1, 5, 10)), (4000, News::Restored(2, 5, 10))],
            cold_until: Some(10_000),
        },
        Case {
            name: "entry of the older copy, written before the target became cold",
            news: &[(0, News::Entry(1, 5, 10)), (1000, News::Restored(2, 4, 0))],
            cold_until: Some(10_000),
        },
        Case {
            name: "entry of the older copy after a return in the era before",
            news: &[(1000, News::Return(1, 7)), (2000, News::Restored(2, 9, 0))],
            cold_until: Some(13_000),
        },
        Case {
            name: "entry of a new era after a return in the era before",
            news: &[
                (1000, News::Return(1, 7)),
                (2000, News::Restored(2, 3, 0)),
                (3000, News::Entry(2, 5, 0)),
            ],
            cold_until: None,
        },
        Case {
            name: "late entry of the era before a return",
            news: &[(1000, News::Return(2, 7)), (2000, News::Entry(1, 9, 0))],
            cold_until: Some(13_000),
        },
    ];
    for case in &cases {
        let mut state = WarmupState::default();
        for (ms, news) in case.news {
            match news {
                News::Entry(era, number, s) => {
                    let left = Duration::from_secs(*s);
                    state.record_entry(version(*era, *number), false, left, at(*ms));
                }
                News::Restored(era, number, s) => {
                    let left = Duration::from_secs(*s);
                    state.record_entry(version(*era, *number), true, left, at(*ms));
                }
                News::Return(era, number) => {
                    state.record_return(Some(version(*era, *number)), at(*ms));
                }
            }
        }
        let expected = case.cold_until.map(at);
        assert_eq!(state.cold_until(WARMUP), expected, "{}", case.name);
    }
}
