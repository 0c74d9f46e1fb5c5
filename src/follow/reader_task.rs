//! The task that decides whether this daemon reads the store, and asks those that do.

use std::{rc::Rc, time::Duration};

use monoio::time::sleep;

use crate::{
    clock::{BootTime, Clock},
    peer::{MessageKind, PeerClient},
    routing::ConfigurationView,
};

use super::{
    FollowedTable, ProofRequest, ProofResponse, ReaderRole, ReaderSelector, SharedReaderRole,
    SharedTables, StoreConnectivity, TableDelta,
};

/// Time between two questions; with the oldest proof taken it stays below the operator's bound
/// on the time in which a configuration comes into force.
const ASK_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two questions of a daemon that reads when those before it do not.
const STANDBY_INTERVAL: Duration = Duration::from_millis(250);
/// Oldest proof of another daemon that is taken; readers call the store more often than this.
const OLDEST_TAKEN: Duration = Duration::from_millis(1100);
/// Age of the own proof from which the store is read, when no reader proves a newer one.
const OLDEST_OWN: Duration = Duration::from_millis(1500);
/// Time without an answer of a daemon that reads the store from which one that stands by reads it;
/// with the two intervals it stays below the operator's bound on a configuration.
const STANDBY_PATIENCE: Duration = Duration::from_millis(600);
/// Pause behind a question that no reader answered well.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The same before the first proof, when this daemon cannot serve yet.
const START_PAUSE: Duration = Duration::from_millis(80);
/// Longest time for an answer; four of them in a row stay below the operator's bounds.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// The same for all rows of the targets, which take a slow link a good part of it.
const ASK_ALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two looks at whether the daemons of the fleet are known.
const MEMBERS_LOOK: Duration = Duration::from_millis(20);

/// What the task needs.
pub struct ReaderParts {
    /// Reaches other daemons.
    pub peers: PeerClient,
    /// Data centre of this host.
    pub data_centre: String,
    /// The configuration in force.
    pub view: ConfigurationView,
    /// What is known of the store.
    pub tables: SharedTables,
    /// Whether the store answers.
    pub connectivity: StoreConnectivity,
    /// Whether this daemon reads the store.
    pub role: SharedReaderRole,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
}

/// What became of one question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asked {
    /// The answer of a daemon that reads the store was taken; whether there is more to ask for at
    /// once.
    Taken { more: bool },
    /// The answer of a daemon that was told itself was taken.
    TakenSecondHand,
    /// No answer, or an old proof.
    Failed,
}

/// Decides whether this daemon reads the store, and takes proofs and changes from the readers of
/// its data centre.
pub struct ReaderTask {
    parts: ReaderParts,
    selector: ReaderSelector,
    started: BootTime,
    /// When a daemon that reads the store answered last.
    relieved_at: BootTime,
    lost: bool,
}

impl ReaderTask {
    /// Makes the task of its parts.
    pub fn new(parts: ReaderParts) -> Self {
        let now = parts.clock.now();
        Self {
            started: now,
            relieved_at: now,
            parts,
            selector: ReaderSelector::default(),
            lost: false,
        }
    }

    /// Runs until the daemon ends.
    pub async fn run(mut self) {
        while self.parts.tables.members.version().is_none() {
            sleep(MEMBERS_LOOK).await;
        }
        loop {
            let pause = self.step().await;
            sleep(pause).await;
        }
    }

    /// Asks the readers before this daemon until one that reads the store answers, and returns the
    /// time until the next step.
    async fn step(&mut self) -> Duration {
        let readers = self.select_readers();
        let own = Rc::from(self.parts.peers.directory().own_host());
        let position = readers.iter().position(|r| *r == own);
        let before = position.unwrap_or(readers.len());
        if let Asked::Taken { more } = self.ask_until_direct(&readers[..before]).await {
            self.relieved_at = self.parts.clock.now();
            self.parts.role.set(ReaderRole::Relieved);
            self.note_found();
            return next_question(more, position.is_some());
        }
        match position {
            Some(position) => self.stand_in(position, &readers[before + 1..]).await,
            None => self.go_without(),
        }
    }

    async fn ask_until_direct(&mut self, readers: &[Rc<str>]) -> Asked {
        let mut best = Asked::Failed;
        for reader in readers {
            match self.ask(reader).await {
                Asked::Taken { more } => return Asked::Taken { more },
                Asked::TakenSecondHand => best = Asked::TakenSecondHand,
                Asked::Failed => self.read_if_old(),
            }
        }
        best
    }

    /// Reads for others, and asks the readers `behind` this one while the store does not answer.
    async fn stand_in(&mut self, position: usize, behind: &[Rc<str>]) -> Duration {
        let now = self.parts.clock.now();
        if position == 0 || now.since(self.relieved_at) >= STANDBY_PATIENCE {
            self.parts.role.set(ReaderRole::ForOthers);
        }
        if self.parts.connectivity.is_connected(now) {
            return STANDBY_INTERVAL;
        }
        match self.ask_until_direct(behind).await {
            Asked::Taken { more } => next_question(more, true),
            _ => STANDBY_INTERVAL,
        }
    }

    /// Reads for this daemon alone once the newest proof is old, also while more readers are asked.
    fn read_if_old(&mut self) {
        let reads = self.parts.role.get() != ReaderRole::Relieved;
        if !reads && self.proof_age() >= OLDEST_OWN {
            self.parts.role.set(ReaderRole::Alone);
        }
    }

    /// Waits for the next question without a reader that answered well.
    fn go_without(&mut self) -> Duration {
        self.lost = true;
        self.read_if_old();
        if self.parts.tables.configuration.version().is_none() {
            START_PAUSE
        } else {
            RETRY_PAUSE
        }
    }

    /// Makes the other tasks call the store again when proofs come again: what kept them away may
    /// have made their connections silent too.
    fn note_found(&mut self) {
        if std::mem::take(&mut self.lost) {
            self.parts.connectivity.record_reconnect();
        }
    }

    /// Returns the age of the newest proof, or of this task before there is one.
    fn proof_age(&self) -> Duration {
        let now = self.parts.clock.now();
        let age = self.parts.view.freshness().age(now);
        age.unwrap_or_else(|| now.since(self.started))
    }

    fn select_readers(&self) -> Vec<Rc<str>> {
        let directory = self.parts.peers.directory();
        let peers = directory.peers();
        let near = peers
            .iter()
            .filter(|p| *p.data_centre == *self.parts.data_centre && !p.leaving);
        let mut hosts: Vec<Rc<str>> = near.map(|p| p.host.clone()).collect();
        hosts.push(Rc::from(directory.own_host()));
        self.selector.select(&hosts, self.parts.clock.now())
    }

    async fn ask(&mut self, reader: &Rc<str>) -> Asked {
        let asked = self.parts.clock.now();
        let tables = &self.parts.tables;
        let req = ProofRequest {
            configuration: tables.configuration.version(),
            targets: tables.targets.version(),
            members: tables.members.version(),
        };
        let limit = if req.targets.is_none() {
            ASK_ALL_TIMEOUT
        } else {
            ASK_TIMEOUT
        };
        let peers = &self.parts.peers;
        match peers.call(reader, MessageKind::Proof, &req, limit).await {
            Ok(answer) => self.take(answer, asked),
            Err(e) => {
                log::info!(reader = &**reader, reason:? = e; "reader silent");
                self.selector
                    .mark_unresponsive(reader, self.parts.clock.now());
                Asked::Failed
            }
        }
    }

    /// Takes the changes and then the proof, which tells of the configuration behind them.
    fn take(&self, answer: ProofResponse, asked: BootTime) -> Asked {
        let Some(age) = answer.age.filter(|age| *age <= OLDEST_TAKEN) else {
            return Asked::Failed;
        };
        let now = self.parts.clock.now();
        let tables = &self.parts.tables;
        let changes: [(&FollowedTable, Option<TableDelta>); 3] = [
            (&tables.configuration, answer.configuration),
            (&tables.targets, answer.targets),
            (&tables.members, answer.members),
        ];
        let mut more = false;
        for (table, change) in changes {
            if let Some(change) = change {
                more |= change.more;
                table.merge(change, now);
            }
        }
        if tables.targets.version().is_none() {
            return Asked::Failed;
        }
        self.parts
            .view
            .update_freshness(|f| f.adopt_peer_proof(asked, age));
        if answer.direct {
            Asked::Taken { more }
        } else {
            Asked::TakenSecondHand
        }
    }
}

/// Returns the time until the next question.
fn next_question(more: bool, stands_by: bool) -> Duration {
    if more {
        Duration::ZERO
    } else if stands_by {
        STANDBY_INTERVAL
    } else {
        ASK_INTERVAL
    }
}
