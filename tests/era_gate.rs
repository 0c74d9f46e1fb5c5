//! Proofs of the configuration in a store that comes back from an older copy.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use chervillug::{
    catalog::KeyHasher,
    clock::BootTime,
    follow::{ConfigurationSink, FollowedTable, ResponseTiming},
    routing::{
        CallerLimitOverrides, Configuration, ConfigurationView, EraGate, EraVerdict, Freshness,
    },
    store::{Era, StoreVersion, StoredRow},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const KEY: &str = "config";

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(1_000_000 + ms))
}

#[test]
fn first_read_counts_once_it_is_confirmed_or_held_long_enough() {
    struct Case {
        name: &'static str,
        era: Era,
        trusts_start: bool,
        /// Time of the answer that is judged, after a first one at 0 ms.
        ms: u64,
        waiting_peer_ms: Option<u64>,
        verdict: EraVerdict,
    }
    let stated = Case {
        name: "right after the start",
        era: Era::stated(3),
        trusts_start: false,
        ms: 100,
        waiting_peer_ms: None,
        verdict: EraVerdict::Unconfirmed,
    };
    let cases = [
        Case {
            name: "no era",
            era: Era::UNSTATED,
            verdict: EraVerdict::Proves,
            ..stated
        },
        Case {
            name: "first start of the fleet",
            trusts_start: true,
            verdict: EraVerdict::Proves,
            ..stated
        },
        Case {
            name: "later",
            ms: 3000,
            verdict: EraVerdict::Proves,
            ..stated
        },
        Case {
            name: "peer with a newer configuration",
            ms: 3000,
            waiting_peer_ms: Some(500),
            ..stated
        },
        stated,
    ];
    for case in cases {
        let mut gate = EraGate::default();
        if case.trusts_start {
            gate.trust_start();
        }
        gate.record_read(Some(1));
        gate.on_answer(case.era, 1, at(0));
        if let Some(ms) = case.waiting_peer_ms {
            gate.on_waiting_peer(at(ms));
        }
        assert_eq!(
            gate.on_answer(case.era, 1, at(case.ms)),
            case.verdict,
            "{}",
            case.name
        );
    }
}

/// Guards against a revoked key that is proven valid by a store that lost the revocation.
#[test]
fn new_era_proves_nothing_before_its_configuration_has_caught_up() {
    let mut gate = EraGate::default();
    gate.trust_start();
    gate.record_read(Some(10));
    assert_eq!(
        gate.on_answer(Era::stated(1), 10, at(0)),
        EraVerdict::Proves
    );
    let era = Era::stated(2);
    for read in [None, Some(9)] {
        gate.record_read(read);
        assert_eq!(
            gate.on_answer(era, 10, at(9000)),
            EraVerdict::OlderConfiguration
        );
        assert_eq!(gate.on_peer_proof(era, 10), EraVerdict::OlderConfiguration);
        assert_eq!(gate.verdict(Era::stated(1), 10), EraVerdict::Proves);
    }
    gate.record_read(Some(10));
    assert_eq!(gate.on_answer(era, 10, at(9000)), EraVerdict::Proves);
    assert_eq!(
        gate.on_answer(Era::stated(1), 10, at(9000)),
        EraVerdict::EarlierEra
    );
    // An older configuration written in the same era is ignored, as in a store without eras.
    gate.record_read(Some(4));
    assert_eq!(gate.on_answer(era, 10, at(9000)), EraVerdict::Proves);
}

/// Guards against proofs that are too new as the store's clock went on from another time.
#[test]
fn offset_of_the_store_clock_is_estimated_anew() {
    let mut freshness = Freshness::default();
    freshness.record_answer(at(0), at(4), Duration::from_secs(1));
    freshness.forget_store_clock();
    freshness.record_answer(at(1000), at(1800), Duration::from_secs(500));
    assert_eq!(freshness.age(at(1800)), Some(Duration::from_millis(800)));
}

fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        workspaces: None,
        limit_overrides: CallerLimitOverrides::default(),
    }
}

fn decode(value: &[u8]) -> Result<Configuration, String> {
    let text = std::str::from_utf8(value).map_err(|e| e.to_string())?;
    text.parse().map(configuration).map_err(|_| text.to_owned())
}

/// The row of the configuration, and the store's version.
#[derive(Debug, Clone, Copy, Default)]
struct Rows {
    configuration: Option<u64>,
    row_version: u64,
    version: u64,
}

/// The store, and the operator that writes to it.
struct Store {
    rows: Rows,
    copies: Vec<Rows>,
    era: u64,
    newest_configuration: u64,
    /// Configuration in the store by the time since which it was there.
    history: Vec<(u64, u64)>,
}

impl Store {
    fn write(&mut self, configuration: u64, now: u64) {
        self.copies.push(self.rows);
        self.rows.version += 1;
        self.rows.row_version = self.rows.version;
        self.rows.configuration = Some(configuration);
        self.history.push((now, configuration));
    }

    fn roll_back(&mut self, writes: usize, now: u64) {
        let kept = self.copies.len().saturating_sub(writes);
        if let Some(rows) = self.copies.get(kept).copied() {
            self.copies.truncate(kept);
            self.rows = rows;
            self.history.push((now, rows.configuration.unwrap_or(0)));
        }
        self.era += 1;
    }

    /// Returns the configuration that was in the store at a time.
    fn configuration_at(&self, ms: u64) -> u64 {
        let before = self.history.iter().rev().find(|(since, _)| *since < ms);
        before.map_or(0, |(_, configuration)| *configuration)
    }

    fn stored_rows(&self) -> Vec<StoredRow> {
        let row = |cfg: u64| StoredRow {
            key: KEY.to_owned(),
            value: Some(Bytes::from(cfg.to_string())),
            version: self.rows.row_version,
        };
        self.rows.configuration.map(row).into_iter().collect()
    }

    fn version(&self) -> StoreVersion {
        StoreVersion::new(Era::stated(self.era), self.rows.version)
    }
}

struct Response {
    sent: u64,
    rows: Vec<StoredRow>,
    version: StoreVersion,
}

struct Reader {
    view: ConfigurationView,
    table: FollowedTable,
    response: Cell<Option<Response>>,
    highest: Cell<u64>,
}

impl Reader {
    fn new() -> Self {
        let view = ConfigurationView::new(KeyHasher::new("secret"), Duration::from_secs(5));
        view.update_eras(EraGate::trust_start);
        let sink = ConfigurationSink::new(view.clone(), KEY, decode);
        Self {
            table: FollowedTable::new("t", Rc::new(sink)),
            view,
            response: Cell::default(),
            highest: Cell::default(),
        }
    }

    fn send(&self, store: &Store, now: u64) {
        self.response.set(Some(Response {
            sent: now,
            rows: store.stored_rows(),
            version: store.version(),
        }));
    }

    fn receive(&self, now: u64) {
        let Some(res) = self.response.take() else {
            return;
        };
        if self.table.replace(res.rows, res.version, at(now)) {
            self.table.sink().on_response(&ResponseTiming {
                sent: at(res.sent),
                received: at(now),
                // A clock of the store that allows no better estimate than the time of sending.
                store_time: Duration::from_millis(res.sent),
                era: res.version.era,
            });
        }
    }

    /// Gets changes and a proof from another reader, as the tasks do.
    fn fetch(&self, other: &Reader, now: u64) -> bool {
        let era = other.table.era();
        let proves = other.view.era_verdict(era) == EraVerdict::Proves;
        let age = other.view.freshness().age(at(now)).filter(|_| proves);
        let Some(delta) = other.table.delta_since(self.table.version()) else {
            return true;
        };
        self.table.merge(delta, at(now));
        let Some(age) = age.filter(|_| self.table.era() == era) else {
            return true;
        };
        let verdict = self.view.adopt_peer_proof(era, at(now), age);
        verdict != EraVerdict::Proves || self.view.version() >= other.view.version()
    }

    /// Returns whether the version in force never decreases, and is as new as the one in the store
    /// at the time that the proof states.
    fn is_sound(&self, store: &Store, now: u64) -> bool {
        let version = self.view.version();
        let is_monotonic = version >= self.highest.replace(version);
        let age = self.view.freshness().age(at(now));
        let proven_at = age.map(|age| now.saturating_sub(age.as_millis() as u64));
        is_monotonic && proven_at.is_none_or(|ms| version >= store.configuration_at(ms))
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Write,
    WriteAgain,
    RollBack { writes: u8 },
    Send { reader: bool },
    Receive { reader: bool },
    Fetch { reader: bool },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let reader = bool::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0 | 1 => Step::Write,
            2 => Step::WriteAgain,
            3 => Step::RollBack {
                writes: u8::arbitrary(g) % 4,
            },
            4..=6 => Step::Send { reader },
            7..=9 => Step::Receive { reader },
            _ => Step::Fetch { reader },
        }
    }
}

/// Two readers, an operator, rollbacks and late responses.
fn proofs_are_sound(steps: Vec<Step>) -> bool {
    let readers = [Reader::new(), Reader::new()];
    let mut store = Store {
        rows: Rows::default(),
        copies: Vec::new(),
        era: 0,
        newest_configuration: 0,
        history: Vec::new(),
    };
    let mut now = 0;
    steps.into_iter().all(|step| {
        now += 10;
        let mut holds = true;
        match step {
            Step::Write => {
                store.newest_configuration += 1;
                store.write(store.newest_configuration, now);
            }
            Step::WriteAgain => store.write(store.newest_configuration, now),
            Step::RollBack { writes } => store.roll_back(usize::from(writes), now),
            Step::Send { reader } => readers[usize::from(reader)].send(&store, now),
            Step::Receive { reader } => readers[usize::from(reader)].receive(now),
            Step::Fetch { reader } => {
                let other = &readers[usize::from(!reader)];
                holds = readers[usize::from(reader)].fetch(other, now);
            }
        }
        holds && readers.iter().all(|r| r.is_sound(&store, now))
    })
}

#[test]
fn proofs_of_two_readers_are_sound_through_rollbacks_and_late_responses() {
    const HISTORIES: u64 = 20_000;
    QuickCheck::new()
        .max_tests(HISTORIES)
        .tests(HISTORIES)
        .quickcheck(proofs_are_sound as fn(Vec<Step>) -> bool);
}
