//! The worlds of one request and the steps between them.

mod arrival;
mod table;

use chervillug::{
    claim::{ClaimAction, ClaimEvent, ClaimState},
    outcome::Outcome,
    retry::{Action, AttemptFailure, ConnectionSource, Event},
};

use arrival::{Arrival, Phase, Told};
use table::{Called, ModelTable, Write};

/// A deliberate fault in the use of the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Broken {
    No,
    RunsUnclaimed,
    TakesRunningClaims,
    ReleasesWhatMayHaveRun,
    ReleasesUnchecked,
    RetriesWhatMayHaveRun,
    TellsTimeoutAsNotRun,
    KeepsSilentConnections,
}

/// What is searched.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) claimed: bool,
    pub(crate) repeatable: bool,
    pub(crate) replayable: bool,
    pub(crate) arrivals: u8,
    pub(crate) faults: u8,
    pub(crate) broken: Broken,
}

/// One request on a connection to a target; it may run at any later time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sent {
    connection: u8,
    arrival: u8,
    ran: bool,
}

/// The whole state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct World {
    arrivals: Vec<Arrival>,
    table: ModelTable,
    sent: Vec<Sent>,
    kept: Vec<u8>,
    next_connection: u8,
    faults_left: u8,
}

impl World {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        Self {
            arrivals: (0..scenario.arrivals).map(|_| Arrival::new()).collect(),
            table: ModelTable::default(),
            sent: Vec::new(),
            kept: Vec::new(),
            next_connection: 0,
            faults_left: scenario.faults,
        }
    }

    /// Names the property that does not hold, if one does not.
    pub(crate) fn violation(&self, scenario: &Scenario) -> Option<&'static str> {
        let total: u8 = self.arrivals.iter().map(|a| a.runs).sum();
        let most = self.arrivals.iter().map(|a| a.runs).max();
        let runs = if scenario.claimed { Some(total) } else { most };
        if !scenario.repeatable && runs > Some(1) {
            return Some("ran twice");
        }
        for (i, arrival) in self.arrivals.iter().enumerate() {
            match arrival.told {
                Some(Told::NotRun) if arrival.runs > 0 => return Some("not-run, but ran"),
                Some(Told::AnswerOf(of)) if usize::from(of) != i => {
                    return Some("answer of another request")
                }
                _ => {}
            }
        }
        None
    }

    pub(crate) fn successors(&self, scenario: &Scenario) -> Vec<Self> {
        let mut next = Vec::new();
        for i in 0..self.arrivals.len() {
            self.arrival_steps(i, scenario, &mut next);
            self.kill(i, &mut next);
        }
        for (i, sent) in self.sent.iter().enumerate() {
            if !sent.ran {
                let mut world = self.clone();
                world.sent[i].ran = true;
                world.arrivals[usize::from(sent.arrival)].runs += 1;
                next.push(world);
            }
        }
        for table in self.table.landings() {
            next.push(Self {
                table,
                ..self.clone()
            });
        }
        next
    }

    /// Kills the host that has arrival `i`.
    fn kill(&self, i: usize, next: &mut Vec<Self>) {
        let busy = !matches!(self.arrivals[i].phase, Phase::Waiting | Phase::Over);
        if let (true, Some(mut world)) = (busy, self.with_fault()) {
            world.arrivals[i].phase = Phase::Over;
            next.push(world);
        }
    }

    fn with_fault(&self) -> Option<Self> {
        let mut world = self.clone();
        world.faults_left = world.faults_left.checked_sub(1)?;
        Some(world)
    }

    fn arrival_steps(&self, i: usize, scenario: &Scenario, next: &mut Vec<Self>) {
        match &self.arrivals[i].phase {
            Phase::Waiting => next.push(self.begin(i, scenario)),
            Phase::Claiming(_, action) => self.claim_steps(i, action, scenario, next),
            Phase::Running { action, .. } => self.run_steps(i, *action, scenario, next),
            Phase::Finishing => self.end_steps(i, ClaimState::Finished { status: 200 }, None, next),
            Phase::ReadingToRelease => self.read_to_release(i, scenario, next),
            Phase::Releasing(version) => {
                self.end_steps(i, ClaimState::Released, *version, next);
            }
            Phase::Over => {}
        }
    }

    fn begin(&self, i: usize, scenario: &Scenario) -> Self {
        let mut world = self.clone();
        world.arrivals[i].begin(i as u8, scenario);
        world
    }

    fn claim_steps(
        &self,
        i: usize,
        action: &ClaimAction,
        scenario: &Scenario,
        next: &mut Vec<Self>,
    ) {
        let call = match action {
            ClaimAction::Write(version) => {
                let row = arrival::row(i as u8, ClaimState::Running);
                let write = Write::new(row, Some(*version));
                self.table.write(&write, self.faults_left)
            }
            ClaimAction::Read => self.table.read(self.faults_left),
            ClaimAction::Run | ClaimAction::Refuse(_) => return,
        };
        for called in call {
            let mut world = self.after(&called);
            let mut row = called.found.clone();
            if let (Broken::TakesRunningClaims, Some((row, _))) = (scenario.broken, &mut row) {
                if row.id != arrival::id(i as u8) {
                    row.state = ClaimState::Released;
                }
            }
            let event = match (&row, called.event) {
                (Some((row, version)), _) => ClaimEvent::Present(row, *version),
                (None, event) => event,
            };
            world.arrivals[i].claim_event(event, scenario);
            next.push(world);
        }
    }

    fn after(&self, called: &Called) -> Self {
        Self {
            table: called.table.clone(),
            faults_left: self.faults_left - called.faults,
            ..self.clone()
        }
    }

    fn read_to_release(&self, i: usize, scenario: &Scenario, next: &mut Vec<Self>) {
        for called in self.table.read(self.faults_left) {
            let mut world = self.after(&called);
            world.arrivals[i].phase = match called.found {
                Some((row, version)) if row.id == arrival::id(i as u8) => {
                    let checked = scenario.broken != Broken::ReleasesUnchecked;
                    Phase::Releasing(checked.then_some(version))
                }
                Some(_) => Phase::Over,
                None => Phase::ReadingToRelease,
            };
            next.push(world);
        }
    }

    fn end_steps(&self, i: usize, state: ClaimState, version: Option<u64>, next: &mut Vec<Self>) {
        let write = Write::new(arrival::row(i as u8, state), version);
        for called in self.table.write(&write, self.faults_left) {
            let mut world = self.after(&called);
            let done = called.event == ClaimEvent::Stored;
            world.arrivals[i].phase = match (done, state) {
                (true, _) => Phase::Over,
                (false, ClaimState::Released) => Phase::ReadingToRelease,
                (false, _) => Phase::Finishing,
            };
            next.push(world);
        }
    }

    fn run_steps(&self, i: usize, action: Action, scenario: &Scenario, next: &mut Vec<Self>) {
        match action {
            Action::Pick => {
                next.push(self.run_event(i, Event::Picked, scenario));
                self.fault(i, Event::NoTarget, scenario, next);
            }
            Action::Connect(kind) => {
                next.push(self.connect(i, kind, scenario));
                self.fault(i, Event::Failed(AttemptFailure::Connect), scenario, next);
            }
            Action::Send => next.push(self.send(i, scenario)),
            Action::AwaitHead => self.await_steps(i, scenario, next),
            Action::CheckBudget(_) => {
                next.push(self.run_event(i, Event::BudgetGranted, scenario));
                next.push(self.run_event(i, Event::BudgetRefused, scenario));
            }
            _ => {}
        }
        for event in [Event::DeadlinePassed, Event::CallerDisconnected] {
            self.fault(i, event, scenario, next);
        }
    }

    fn run_event(&self, i: usize, event: Event, scenario: &Scenario) -> Self {
        let mut world = self.clone();
        let abandoned = world.arrivals[i].run_event(event, scenario);
        if let (Broken::KeepsSilentConnections, Some(connection)) = (scenario.broken, abandoned) {
            world.kept.push(connection);
        }
        world
    }

    fn fault(&self, i: usize, event: Event, scenario: &Scenario, next: &mut Vec<Self>) {
        if let Some(world) = self.with_fault() {
            next.push(world.run_event(i, event, scenario));
        }
    }

    fn connect(&self, i: usize, kind: ConnectionSource, scenario: &Scenario) -> Self {
        let mut world = self.clone();
        let kept = match kind {
            ConnectionSource::PooledOrNew => world.kept.pop(),
            ConnectionSource::New | ConnectionSource::RecentOrNew => None,
        };
        let connection = kept.unwrap_or(world.next_connection);
        world.next_connection += u8::from(kept.is_none());
        world.arrivals[i].set_connection(connection);
        let reused = kept.is_some();
        world.run_event(i, Event::Connected { reused }, scenario)
    }

    fn send(&self, i: usize, scenario: &Scenario) -> Self {
        let mut world = self.clone();
        world.sent.push(Sent {
            connection: self.arrivals[i].connection(),
            arrival: i as u8,
            ran: false,
        });
        world.run_event(i, Event::SendStarted, scenario)
    }

    fn await_steps(&self, i: usize, scenario: &Scenario, next: &mut Vec<Self>) {
        let connection = self.arrivals[i].connection();
        let first = self.sent.iter().position(|s| s.connection == connection);
        if let Some(at) = first {
            if self.sent[at].ran {
                next.push(self.answer(i, at, scenario));
                self.fault(i, Event::Failed(AttemptFailure::Malformed), scenario, next);
            } else if let Some(mut world) = self.with_fault() {
                world.sent.remove(at);
                next.push(world.run_event(i, Event::Failed(AttemptFailure::Shed), scenario));
            }
        }
        self.fault(i, Event::Failed(AttemptFailure::Lost), scenario, next);
        if self.arrivals[i].would_retry_on_silence() {
            self.fault(i, Event::SilenceTimeout, scenario, next);
        }
    }

    /// Passes the first answer on the connection to the caller of arrival `i`.
    fn answer(&self, i: usize, at: usize, scenario: &Scenario) -> Self {
        let mut world = self.run_event(i, Event::ResponseHead, scenario);
        let sent = world.sent.remove(at);
        world.arrivals[i].told = Some(Told::AnswerOf(sent.arrival));
        world.kept.push(sent.connection);
        world
    }
}

/// Returns what the caller learns from an outcome.
fn told(outcome: Outcome) -> Told {
    match outcome {
        Outcome::NotRun => Told::NotRun,
        Outcome::Answer | Outcome::Unknown => Told::Unknown,
    }
}
