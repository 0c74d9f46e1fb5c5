//! Fetches table changes that are too large for a proof.

use std::{cell::Cell, io, rc::Rc, time::Duration};

use bytes::Bytes;

use crate::{
    clock::{BootTime, Clock},
    metrics::{Counter, Metrics},
    peer::{MessageKind, PeerClient},
    routing::ConfigurationView,
    store::{Era, StoreVersion},
};

use super::{
    change_message::HeldCopy, delta_codec::decode_delta, reader_task::ReaderParts, ChangesRequest,
    ChangesResponse, EncodedDelta, FollowedTable, RowVersion, SharedTables,
};

/// Timeout of one fetch. With the polls before it and a read of the store after it, it stays below
/// the operator's limit on the time until a configuration takes effect.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1200);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchState {
    Idle,
    Running,
    /// The last fetch failed, and the changes are still missing.
    Failed,
}

/// A proof of another daemon that the configuration is up to date.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerProof {
    /// When the proof was requested.
    pub(super) requested_at: BootTime,
    /// Its age at that time.
    pub(super) age: Duration,
}

impl PeerProof {
    /// Adopts the proof for the configuration in `view`, whose copy is of `era`.
    pub(super) fn adopt(&self, view: &ConfigurationView, era: Era) {
        view.adopt_peer_proof(era, self.requested_at, self.age);
    }
}

/// Result of one fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchResult {
    /// The changes were merged; `configuration` if those of the configuration were among them.
    Merged { configuration: bool },
    /// No response, or unreadable changes.
    Failed,
}

/// Fetches changes from readers, one fetch at a time, while proofs go on being polled.
#[derive(Clone)]
pub(super) struct ChangeFetcher {
    peers: PeerClient,
    tables: SharedTables,
    view: ConfigurationView,
    metrics: Rc<Metrics>,
    clock: Rc<dyn Clock>,
    state: Rc<Cell<FetchState>>,
}

/// A copy as described in a request, with the value of its base row.
struct RequestedCopy<'a> {
    table: &'a FollowedTable,
    held: HeldCopy,
    base: Bytes,
}

impl<'a> RequestedCopy<'a> {
    fn new(table: &'a FollowedTable) -> Self {
        let row = table.large_row();
        let held = HeldCopy {
            version: table.version(),
            base: row.as_ref().map(|row| RowVersion {
                key: row.key.clone(),
                version: StoreVersion::new(table.era(), row.version),
            }),
        };
        let base = row.and_then(|row| row.value).unwrap_or_default();
        Self { table, held, base }
    }
}

impl ChangeFetcher {
    /// Creates a fetcher that merges changes into the tables of `parts`.
    pub(super) fn new(parts: &ReaderParts) -> Self {
        Self {
            peers: parts.peers.clone(),
            tables: parts.tables.clone(),
            view: parts.view.clone(),
            metrics: parts.metrics.clone(),
            clock: parts.clock.clone(),
            state: Rc::new(Cell::new(FetchState::Idle)),
        }
    }

    /// Starts a fetch from `reader` unless one is running. `proof` came with the response that left
    /// the changes out, and is adopted once they are merged, unless they are of another era than the
    /// copy was: the proof may be of the era before.
    pub(super) fn start(&self, reader: &Rc<str>, proof: Option<PeerProof>) {
        if self.state.replace(FetchState::Running) == FetchState::Running {
            return;
        }
        let (fetcher, reader) = (self.clone(), reader.clone());
        monoio::spawn(async move {
            let era = fetcher.tables.configuration.era();
            fetcher.state.set(match fetcher.fetch(&reader).await {
                FetchResult::Merged { configuration } => {
                    let is_same_era = fetcher.tables.configuration.era() == era;
                    if let Some(proof) = proof.filter(|_| configuration && is_same_era) {
                        proof.adopt(&fetcher.view, era);
                    }
                    FetchState::Idle
                }
                FetchResult::Failed => FetchState::Failed,
            });
        });
    }

    /// Records that a proof left no changes to be fetched.
    pub(super) fn on_caught_up(&self) {
        if self.state.get() == FetchState::Failed {
            self.state.set(FetchState::Idle);
        }
    }

    /// Returns whether the changes must be read from the store, as no reader delivered them.
    pub(super) fn needs_store(&self) -> bool {
        self.state.get() == FetchState::Failed
    }

    async fn fetch(&self, reader: &str) -> FetchResult {
        let sent = self.clock.now();
        let copies = [
            RequestedCopy::new(&self.tables.configuration),
            RequestedCopy::new(&self.tables.targets),
            RequestedCopy::new(&self.tables.members),
        ];
        let [configuration, targets, members] = &copies;
        let req = ChangesRequest {
            configuration: configuration.held.clone(),
            targets: targets.held.clone(),
            members: members.held.clone(),
        };
        let peers = &self.peers;
        let kind = MessageKind::Changes;
        match peers.call(reader, kind, &req, FETCH_TIMEOUT).await {
            Ok(res) => self.merge_all(reader, &copies, res, sent),
            Err(e) => {
                self.metrics.count(Counter::ChangeFetchesFailed);
                let waited_ms = self.elapsed_ms(sent);
                log::warn!(reader = reader, reason:? = e, waited_ms = waited_ms;
                    "fetching changes failed, reading the store");
                FetchResult::Failed
            }
        }
    }

    fn merge_all(
        &self,
        reader: &str,
        copies: &[RequestedCopy<'_>; 3],
        res: ChangesResponse,
        sent: BootTime,
    ) -> FetchResult {
        let took_ms = self.elapsed_ms(sent);
        let configuration = res.configuration.is_some();
        let deltas = [res.configuration, res.targets, res.members];
        for (copy, encoded) in copies.iter().zip(deltas) {
            let Some(encoded) = encoded else { continue };
            let (table, bytes) = (copy.table.name(), encoded.compressed.len());
            self.metrics.add(Counter::ChangeBytes, bytes as u64);
            match self.merge(copy, &encoded) {
                Ok(rows) => log::info!(reader = reader, table = table, held:? = copy.held.version,
                    row:? = copy.table.version(), rows = rows, bytes = bytes, took_ms = took_ms;
                    "changes fetched"),
                Err(e) => {
                    self.metrics.count(Counter::ChangeFetchesFailed);
                    let reason = e.to_string();
                    log::warn!(reader = reader, table = table, reason = reason.as_str();
                        "unreadable changes, reading the store");
                    return FetchResult::Failed;
                }
            }
        }
        FetchResult::Merged { configuration }
    }

    /// Merges one delta and returns the number of its rows.
    fn merge(&self, copy: &RequestedCopy<'_>, encoded: &EncodedDelta) -> io::Result<usize> {
        let base: &[u8] = if encoded.uses_base { &copy.base } else { &[] };
        let delta = decode_delta(&encoded.compressed, base)?;
        let rows = delta.rows.len();
        copy.table.merge(delta, self.clock.now());
        Ok(rows)
    }

    fn elapsed_ms(&self, since: BootTime) -> u64 {
        self.clock.now().since(since).as_millis() as u64
    }
}
