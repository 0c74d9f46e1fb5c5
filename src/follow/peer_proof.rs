//! Proofs of a fresh configuration from other daemons, which spare calls of the store.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use monoio::time::sleep;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes, DurationMicroSeconds};

use crate::{
    clock::{BootTime, Clock},
    peer::{decode, encode, PeerClient, PeerHandler, PeerKind},
    routing::ConfigurationView,
    store::BoxFuture,
};

use super::{ConfigurationSink, Readers, StoreContact};

/// Time between two questions; with the oldest proof taken it stays below the operator's bound
/// on the time in which a configuration comes into force.
const ASK_INTERVAL: Duration = Duration::from_millis(700);
/// Oldest proof of another daemon that is taken; readers call the store more often than this.
const OLDEST_TAKEN: Duration = Duration::from_millis(1100);
/// Age of the own proof from which the store is read, when no reader proves a newer one.
const OLDEST_OWN: Duration = Duration::from_millis(1500);
/// Pause behind a question that no reader answered well.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Longest time for an answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Questions in a row behind which targets read by another daemon count as missed here.
const BEHIND_LIMIT: u32 = 2;

/// Asks a reader for its proof.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofRequest {
    /// Version of the configuration that the asking daemon holds.
    pub held: u64,
}

/// The proof of a reader.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofAnswer {
    /// Age of the proof, µs.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub age: Duration,
    /// The configuration, when it is newer than the one held.
    #[serde_as(as = "Option<Bytes>")]
    pub configuration: Option<Vec<u8>>,
    /// Newest version of the rows of targets that the reader knows.
    pub targets: u64,
}

/// Answers other daemons' questions.
pub struct ProofHandler {
    /// The configuration in force.
    pub view: ConfigurationView,
    /// Holds the configuration as it stood in the store.
    pub sink: Rc<ConfigurationSink>,
    /// What was read of the other tables.
    pub contact: StoreContact,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
}

impl ProofHandler {
    fn answer(&self, req: &ProofRequest) -> Option<ProofAnswer> {
        let age = self.view.freshness().age(self.clock.now())?;
        let is_newer = self.view.version() > req.held;
        let raw = is_newer.then(|| self.sink.raw()).flatten();
        Some(ProofAnswer {
            age,
            configuration: raw.map(|raw| raw.to_vec()),
            targets: self.contact.targets_version(),
        })
    }
}

impl PeerHandler for ProofHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let req: ProofRequest = decode(body)?;
            encode(&self.answer(&req)?)
        })
    }
}

/// Takes proofs from the readers of the own data centre, as long as they are fresh.
pub struct PeerProofs {
    peers: PeerClient,
    data_centre: String,
    view: ConfigurationView,
    sink: Rc<ConfigurationSink>,
    contact: StoreContact,
    clock: Rc<dyn Clock>,
    readers: RefCell<Readers>,
    lost: Cell<bool>,
    behind: Cell<u32>,
    called_for: Cell<u64>,
}

impl PeerProofs {
    /// Makes the proofs of a daemon in `data_centre`.
    pub fn new(
        peers: PeerClient,
        data_centre: &str,
        view: ConfigurationView,
        sink: Rc<ConfigurationSink>,
        contact: StoreContact,
        clock: Rc<dyn Clock>,
    ) -> Self {
        Self {
            peers,
            data_centre: data_centre.to_owned(),
            view,
            sink,
            contact,
            clock,
            readers: RefCell::default(),
            lost: Cell::new(false),
            behind: Cell::new(0),
            called_for: Cell::new(0),
        }
    }

    /// Returns when this daemon must read the store itself; tells whether it reads for others.
    pub async fn relieve(&self) -> bool {
        loop {
            let readers = self.choose();
            if readers.is_empty()
                || readers
                    .iter()
                    .any(|r| **r == *self.peers.directory().own_host())
            {
                return true;
            }
            if self.ask_one_of(&readers).await {
                self.note_found();
                sleep(ASK_INTERVAL).await;
                continue;
            }
            self.lost.set(true);
            let age = self.view.freshness().age(self.clock.now());
            if age.is_none_or(|age| age >= OLDEST_OWN) {
                return false;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Makes the other tasks call the store again when proofs come again: what kept them away may
    /// have made their connections silent too.
    fn note_found(&self) {
        if self.lost.replace(false) {
            self.contact.note_regained();
        }
    }

    fn choose(&self) -> Vec<Rc<str>> {
        let directory = self.peers.directory();
        let peers = directory.peers();
        let near = peers
            .iter()
            .filter(|p| *p.data_centre == *self.data_centre && !p.leaving);
        let mut hosts: Vec<Rc<str>> = near.map(|p| p.host.clone()).collect();
        hosts.push(Rc::from(directory.own_host()));
        self.readers.borrow().choose(&hosts, self.clock.now())
    }

    async fn ask_one_of(&self, readers: &[Rc<str>]) -> bool {
        for reader in readers {
            if self.ask(reader).await {
                return true;
            }
        }
        false
    }

    /// Asks one reader; tells whether its proof was taken.
    async fn ask(&self, reader: &Rc<str>) -> bool {
        let asked = self.clock.now();
        let req = ProofRequest {
            held: self.view.version(),
        };
        let answer = self.peers.call(reader, PeerKind::Proof, &req, ASK_TIMEOUT);
        let answer: ProofAnswer = match answer.await {
            Ok(answer) => answer,
            Err(e) => {
                log::info!(reader = &**reader, reason:? = e; "reader silent");
                let now = self.clock.now();
                self.readers.borrow_mut().note_silence(reader, now);
                return false;
            }
        };
        if answer.age > OLDEST_TAKEN {
            return false;
        }
        self.take(&answer, asked);
        true
    }

    fn take(&self, answer: &ProofAnswer, asked: BootTime) {
        if let Some(raw) = &answer.configuration {
            self.sink.take_raw(raw);
        }
        self.view.prove(|f| f.adopt(asked, answer.age));
        self.compare_targets(answer.targets);
    }

    /// Makes the other tasks call the store again when this daemon keeps missing changes of
    /// targets that the reader knows, as behind a connection that went silent.
    fn compare_targets(&self, known: u64) {
        if known <= self.contact.targets_version() || known == self.called_for.get() {
            self.behind.set(0);
            return;
        }
        self.behind.set(self.behind.get() + 1);
        if self.behind.get() >= BEHIND_LIMIT {
            self.called_for.set(known);
            self.behind.set(0);
            log::info!(known = known, held = self.contact.targets_version(); "targets missed");
            self.contact.note_regained();
        }
    }
}
