//! The task that decides whether this daemon reads the store, and otherwise polls the readers.

use std::{rc::Rc, time::Duration};

use local_sync::mpsc;
use monoio::time::sleep;

use crate::{
    admission::AdmissionHandle,
    clock::{BootTime, Clock},
    metrics::{Counter, Metrics},
    peer::{decode_extended, encode_extended, MessageKind, PeerClient, PeerError},
    routing::{ConfigurationView, EraVerdict},
};

use super::{
    change_fetcher::{ChangeFetcher, PeerProof},
    FollowedTable, ProofRequest, ProofResponse, ReaderRole, ReaderSelector, RowChange,
    SharedReaderRole, SharedTables, StoreConnectivity, TableDelta,
};

/// Time between two polls of the readers. Added to [`MAX_PROOF_AGE`] it stays below the operator's
/// limit on the time until a configuration takes effect.
const POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two polls by a standby reader, which reads the store when the readers ranked before
/// it do not.
const STANDBY_INTERVAL: Duration = Duration::from_millis(250);
/// Oldest proof that is accepted from another daemon; readers call the store more often than this.
const MAX_PROOF_AGE: Duration = Duration::from_millis(1100);
/// Age of this daemon's newest proof from which it reads the store itself if no reader has a newer
/// one.
const MAX_OWN_PROOF_AGE: Duration = Duration::from_millis(1500);
/// Time without a response of a daemon that reads the store after which a standby reader reads it.
/// Added to [`POLL_INTERVAL`] and [`STANDBY_INTERVAL`] it stays below the operator's limit on the
/// time until a configuration takes effect.
const STANDBY_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a poll that found no daemon that reads the store and has a recent proof.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest pause before the first proof, while this daemon cannot serve yet.
const STARTUP_RETRY_INTERVAL: Duration = Duration::from_millis(80);
/// The same for each daemon of the data centre, all of which may poll one reader while they start.
const STARTUP_RETRY_PER_DAEMON: Duration = Duration::from_millis(4);
/// Time within which all daemons of a starting fleet have joined it.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Timeout of one poll; four timeouts in a row stay below the operator's limits.
const POLL_TIMEOUT: Duration = Duration::from_millis(250);

/// Dependencies of a [`ReaderTask`].
pub struct ReaderParts {
    /// Client for calls to other daemons.
    pub peers: PeerClient,
    /// Data centre of this host.
    pub data_centre: String,
    /// The current configuration.
    pub view: ConfigurationView,
    /// Local copies of the store's tables.
    pub tables: SharedTables,
    /// This daemon's connectivity to the store.
    pub connectivity: StoreConnectivity,
    /// Whether this daemon reads the store.
    pub role: SharedReaderRole,
    /// Names of readers that leave.
    pub leaving: mpsc::unbounded::Rx<Rc<str>>,
    /// Reports load with the polls, and applies the admission levels in the responses.
    pub admission: AdmissionHandle,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
}

/// Result of polling one reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PollResult {
    /// A daemon that reads the store responded with a recent proof; `more` if further changes can
    /// be fetched at once.
    Direct { more: bool },
    /// A daemon that gets its data from other daemons responded with a recent proof.
    Indirect,
    /// No response, a proof that is too old, or a reader without a list of targets.
    Failed,
}

/// Decides whether this daemon reads the store, and otherwise gets proofs and changes from the
/// readers of its data centre.
pub struct ReaderTask {
    parts: ReaderParts,
    selector: ReaderSelector,
    fetcher: ChangeFetcher,
    started: BootTime,
    /// When a daemon that reads the store last responded.
    last_direct: BootTime,
    /// Set by a poll without a direct response, unless this daemon is a reader; cleared by the next
    /// direct response.
    without_reader: bool,
}

impl ReaderTask {
    /// Creates the task.
    pub fn new(parts: ReaderParts) -> Self {
        let now = parts.clock.now();
        let fetcher = ChangeFetcher::new(&parts);
        Self {
            started: now,
            last_direct: now,
            fetcher,
            parts,
            selector: ReaderSelector::default(),
            without_reader: false,
        }
    }

    /// Runs until the daemon exits.
    pub async fn run(mut self) {
        self.started = self.parts.clock.now();
        self.last_direct = self.started;
        loop {
            let pause = self.step().await;
            self.pause(pause).await;
        }
    }

    /// Waits for `duration`, or until a reader leaves whose successor this daemon is.
    async fn pause(&mut self, duration: Duration) {
        let mut pause = std::pin::pin!(sleep(duration));
        loop {
            let host = monoio::select! {
                () = &mut pause => return,
                Some(host) = self.parts.leaving.recv() => host,
            };
            log::info!(reader = &*host; "reader leaves");
            self.selector.mark_leaving(&host, self.parts.clock.now());
            let readers = self.select_readers();
            if readers
                .first()
                .is_some_and(|r| **r == *self.parts.peers.directory().own_host())
            {
                return;
            }
        }
    }

    /// Polls the readers ranked before this daemon until one that reads the store responds, and
    /// returns the time until the next step.
    async fn step(&mut self) -> Duration {
        let readers = self.select_readers();
        let own = Rc::from(self.parts.peers.directory().own_host());
        let position = readers.iter().position(|r| *r == own);
        let before = position.unwrap_or(readers.len());
        if let PollResult::Direct { more } = self.poll_until_direct(&readers[..before]).await {
            self.last_direct = self.parts.clock.now();
            self.parts.role.set(if self.fetcher.needs_store() {
                ReaderRole::Alone
            } else {
                ReaderRole::Relieved
            });
            self.on_reader_found();
            return poll_delay(more, position.is_some());
        }
        match position {
            Some(position) => self.act_as_reader(position, &readers[before + 1..]).await,
            None => self.on_no_reader(),
        }
    }

    async fn poll_until_direct(&mut self, readers: &[Rc<str>]) -> PollResult {
        let mut best = PollResult::Failed;
        for reader in readers {
            match self.poll(reader).await {
                PollResult::Direct { more } => return PollResult::Direct { more },
                PollResult::Indirect => best = PollResult::Indirect,
                PollResult::Failed => self.read_if_stale(),
            }
        }
        best
    }

    /// Takes over reading the store for others if no reader ranked before this one has responded
    /// for [`STANDBY_TIMEOUT`], and polls those ranked after it while the store does not respond.
    async fn act_as_reader(&mut self, position: usize, fallbacks: &[Rc<str>]) -> Duration {
        let now = self.parts.clock.now();
        if position == 0 || now.since(self.last_direct) >= STANDBY_TIMEOUT {
            self.parts.role.set(ReaderRole::ForOthers);
        }
        if self.parts.connectivity.is_connected(now) && !self.needs_confirmation() {
            return STANDBY_INTERVAL;
        }
        match self.poll_until_direct(fallbacks).await {
            PollResult::Direct { more } => poll_delay(more, true),
            _ => STANDBY_INTERVAL,
        }
    }

    /// Returns whether another daemon must confirm what this one read first.
    fn needs_confirmation(&self) -> bool {
        let era = self.parts.tables.configuration.era();
        self.parts.view.era_verdict(era) == EraVerdict::Unconfirmed
    }

    /// Makes this daemon read the store for itself once its newest proof is too old, even while it
    /// polls further readers.
    fn read_if_stale(&mut self) {
        let reads = self.parts.role.get() != ReaderRole::Relieved;
        if !reads && self.proof_age() >= MAX_OWN_PROOF_AGE {
            self.parts.role.set(ReaderRole::Alone);
        }
    }

    /// Handles a poll without a direct response, and returns the time until the next one.
    fn on_no_reader(&mut self) -> Duration {
        self.without_reader = true;
        self.read_if_stale();
        if self.parts.tables.configuration.version().is_none() {
            self.startup_retry_interval()
        } else {
            RETRY_INTERVAL
        }
    }

    /// Returns the pause between two polls before the first proof, which bounds the polls that a
    /// reader gets from a data centre that starts as a whole.
    fn startup_retry_interval(&self) -> Duration {
        let daemons = self.local_peers().len() as u32;
        let longest = STARTUP_RETRY_INTERVAL.max(STARTUP_RETRY_PER_DAEMON * daemons);
        longest.mul_f64(0.5 + 0.5 * fastrand::f64())
    }

    /// Makes the other tasks call the store again when a reader responds after a time without one,
    /// as the same network fault may have left their connections dead.
    fn on_reader_found(&mut self) {
        if std::mem::take(&mut self.without_reader) {
            self.parts.connectivity.record_reconnect();
        }
    }

    /// Returns the age of the newest proof, or the time since the start before there is one.
    fn proof_age(&self) -> Duration {
        let now = self.parts.clock.now();
        let age = self.parts.view.freshness().age(now);
        age.unwrap_or_else(|| now.since(self.started))
    }

    fn select_readers(&self) -> Vec<Rc<str>> {
        let mut hosts = self.local_peers();
        hosts.push(Rc::from(self.parts.peers.directory().own_host()));
        self.selector.select(&hosts, self.parts.clock.now())
    }

    /// Returns the other daemons of the data centre.
    fn local_peers(&self) -> Vec<Rc<str>> {
        let peers = self.parts.peers.directory().peers();
        let local = peers
            .iter()
            .filter(|p| *p.data_centre == *self.parts.data_centre && !p.leaving);
        local.map(|p| p.host.clone()).collect()
    }

    async fn poll(&mut self, reader: &Rc<str>) -> PollResult {
        let sent = self.parts.clock.now();
        let req = self.parts.tables.versions();
        match self.call_reader(reader, &req).await {
            Ok(res) => self.handle_response(reader, res, sent),
            Err(e) => {
                let waited_ms = self.elapsed_ms(sent);
                self.parts.metrics.count(Counter::ReaderPollsFailed);
                log::info!(reader = &**reader, reason:? = e, waited_ms = waited_ms,
                    configuration:? = req.configuration, targets:? = req.targets;
                    "reader did not respond");
                let now = self.parts.clock.now();
                if !self.is_starting(now) {
                    self.selector.mark_unresponsive(reader, now);
                }
                PollResult::Failed
            }
        }
    }

    /// Sends `req` with the load report of this daemon, if a service is busy, and applies the
    /// admission levels in the response.
    async fn call_reader(
        &self,
        reader: &Rc<str>,
        req: &ProofRequest,
    ) -> Result<ProofResponse, PeerError> {
        let admission = &self.parts.admission;
        let body = encode_extended(req, admission.own_report().as_ref());
        let call = self
            .parts
            .peers
            .call_encoded(reader, MessageKind::Proof, body, POLL_TIMEOUT);
        let (res, levels) = decode_extended(&call.await?).ok_or(PeerError::BadAnswer)?;
        if let Some(levels) = levels {
            admission.apply_levels(&levels);
        }
        Ok(res)
    }

    /// Returns whether the fleet may be starting together with this daemon, so that a reader that
    /// does not respond may only have to join first.
    fn is_starting(&self, now: BootTime) -> bool {
        let has_proof = self.parts.view.freshness().age(now).is_some();
        !has_proof && now.since(self.started) < STARTUP_TIME
    }

    fn elapsed_ms(&self, since: BootTime) -> u64 {
        self.parts.clock.now().since(since).as_millis() as u64
    }

    fn log_changes(&self, reader: &str, table: &FollowedTable, delta: &TableDelta, sent: BootTime) {
        if delta.rows.is_empty() {
            return;
        }
        let bytes: usize = delta.rows.iter().map(RowChange::size).sum();
        let (rows, took_ms) = (delta.rows.len(), self.elapsed_ms(sent));
        self.parts.metrics.add(Counter::ChangeBytes, bytes as u64);
        log::info!(reader = reader, table = table.name(), held:? = table.version(),
            row:? = delta.version, rows = rows, bytes = bytes, took_ms = took_ms;
            "changes received");
    }

    /// Returns whether a daemon that reads the store has no proof because the store came back from an
    /// older copy, and its configuration has not been written again. Its rows are current, and reading
    /// the store would give no proof either.
    fn is_waiting(&self, res: &ProofResponse) -> bool {
        let in_era = match &res.configuration {
            Some(delta) => delta.version.era.is_stated(),
            None => {
                let held = self.parts.tables.configuration.era();
                res.pending.configuration && held.is_stated()
            }
        };
        res.age.is_none() && res.direct && in_era
    }

    /// Applies the changes and then the proof, which is valid only for the configuration that
    /// results from them. Starts to fetch the changes that the response has no room for.
    fn handle_response(&self, reader: &Rc<str>, res: ProofResponse, sent: BootTime) -> PollResult {
        let age = res.age.filter(|age| *age <= MAX_PROOF_AGE);
        let is_waiting = self.is_waiting(&res);
        if age.is_none() && !is_waiting {
            return PollResult::Failed;
        }
        let now = self.parts.clock.now();
        if is_waiting {
            self.parts.view.update_eras(|e| e.on_waiting_peer(now));
        }
        let tables = &self.parts.tables;
        // Without its changes, the reader's proof says nothing about this daemon's configuration.
        let proven_era = res.configuration.as_ref().map(|delta| delta.version.era);
        let deltas: [(&FollowedTable, Option<TableDelta>); 3] = [
            (&tables.configuration, res.configuration),
            (&tables.targets, res.targets),
            (&tables.members, res.members),
        ];
        let mut more = false;
        for (table, delta) in deltas {
            if let Some(delta) = delta {
                more |= delta.more;
                self.log_changes(reader, table, &delta, sent);
                table.merge(delta, now);
            }
        }
        let proof = age.map(|age| PeerProof {
            requested_at: sent,
            age,
        });
        if res.pending.is_empty() {
            self.fetcher.on_caught_up();
        } else {
            self.fetcher.start(reader, proof);
        }
        if tables.targets.version().is_none() && !res.pending.targets {
            return PollResult::Failed;
        }
        let era = tables.configuration.era();
        if let Some(proof) = proof.filter(|_| proven_era == Some(era)) {
            proof.adopt(&self.parts.view, era);
        }
        if res.direct {
            PollResult::Direct { more }
        } else {
            PollResult::Indirect
        }
    }
}

/// Returns the time until the next poll.
fn poll_delay(more: bool, is_standby: bool) -> Duration {
    if more {
        Duration::ZERO
    } else if is_standby {
        STANDBY_INTERVAL
    } else {
        POLL_INTERVAL
    }
}
