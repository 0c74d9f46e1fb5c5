//! States of the model of one request and the transitions between them.

mod arrival;
mod table;

use chervillug::{
    claim::{ClaimAction, ClaimEvent, ClaimState},
    outcome::Outcome,
    retry::{Action, AttemptFailure, ConnectionSource, Event},
};

use arrival::{Arrival, Phase, Reported};
use table::{CallResult, ModelTable, Write};

/// A deliberate defect, which the model must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Mutation {
    None,
    RunsUnclaimed,
    TakesRunningClaims,
    ReleasesAfterPossibleRun,
    ReleasesWithoutVersionCheck,
    RetriesAfterPossibleRun,
    ReportsTimeoutAsNotRun,
    PoolsSilentConnections,
}

/// Parameters of a search.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) claimed: bool,
    pub(crate) repeatable: bool,
    pub(crate) replayable: bool,
    pub(crate) arrivals: u8,
    pub(crate) faults: u8,
    pub(crate) mutation: Mutation,
}

/// A request sent on a connection to a target; it may run at any later time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SentRequest {
    connection: u8,
    arrival: u8,
    ran: bool,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct State {
    arrivals: Vec<Arrival>,
    table: ModelTable,
    sent: Vec<SentRequest>,
    pooled: Vec<u8>,
    next_connection: u8,
    faults_left: u8,
}

impl State {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        Self {
            arrivals: (0..scenario.arrivals).map(|_| Arrival::new()).collect(),
            table: ModelTable::default(),
            sent: Vec::new(),
            pooled: Vec::new(),
            next_connection: 0,
            faults_left: scenario.faults,
        }
    }

    /// Returns the name of the violated property, if any.
    pub(crate) fn violation(&self, scenario: &Scenario) -> Option<&'static str> {
        let total: u8 = self.arrivals.iter().map(|a| a.runs).sum();
        let most = self.arrivals.iter().map(|a| a.runs).max();
        let runs = if scenario.claimed { Some(total) } else { most };
        if !scenario.repeatable && runs > Some(1) {
            return Some("ran twice");
        }
        for (i, arrival) in self.arrivals.iter().enumerate() {
            match arrival.reported {
                Some(Reported::NotRun) if arrival.runs > 0 => return Some("not-run, but ran"),
                Some(Reported::AnswerOf(of)) if usize::from(of) != i => {
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
                let mut state = self.clone();
                state.sent[i].ran = true;
                state.arrivals[usize::from(sent.arrival)].runs += 1;
                next.push(state);
            }
        }
        for table in self.table.apply_delayed() {
            next.push(Self {
                table,
                ..self.clone()
            });
        }
        next
    }

    /// Kills the host that handles arrival `i`.
    fn kill(&self, i: usize, next: &mut Vec<Self>) {
        let busy = !matches!(self.arrivals[i].phase, Phase::Waiting | Phase::Done);
        if let (true, Some(mut state)) = (busy, self.with_fault()) {
            state.arrivals[i].phase = Phase::Done;
            next.push(state);
        }
    }

    fn with_fault(&self) -> Option<Self> {
        let mut state = self.clone();
        state.faults_left = state.faults_left.checked_sub(1)?;
        Some(state)
    }

    fn arrival_steps(&self, i: usize, scenario: &Scenario, next: &mut Vec<Self>) {
        match &self.arrivals[i].phase {
            Phase::Waiting => next.push(self.begin(i, scenario)),
            Phase::Claiming(_, action) => self.claim_steps(i, action, scenario, next),
            Phase::Running { action, .. } => self.run_steps(i, *action, scenario, next),
            Phase::Finishing => {
                self.end_claim_steps(i, ClaimState::Finished { status: 200 }, None, next)
            }
            Phase::ReadingToRelease => self.read_to_release(i, scenario, next),
            Phase::Releasing(version) => {
                self.end_claim_steps(i, ClaimState::Released, *version, next);
            }
            Phase::Done => {}
        }
    }

    fn begin(&self, i: usize, scenario: &Scenario) -> Self {
        let mut state = self.clone();
        state.arrivals[i].begin(i as u8, scenario);
        state
    }

    fn claim_steps(
        &self,
        i: usize,
        action: &ClaimAction,
        scenario: &Scenario,
        next: &mut Vec<Self>,
    ) {
        let results = match action {
            ClaimAction::Write(version) => {
                let row = arrival::row(i as u8, ClaimState::Running);
                let write = Write::new(row, Some(*version));
                self.table.write(&write, self.faults_left)
            }
            ClaimAction::Read => self.table.read(self.faults_left),
            ClaimAction::Run | ClaimAction::Refuse(_) => return,
        };
        for result in results {
            let mut state = self.after(&result);
            let mut row = result.found.clone();
            if let (Mutation::TakesRunningClaims, Some((row, _))) = (scenario.mutation, &mut row) {
                if row.id != arrival::id(i as u8) {
                    row.state = ClaimState::Released;
                }
            }
            let event = match (&row, result.event) {
                (Some((row, version)), _) => ClaimEvent::Present(row, *version),
                (None, event) => event,
            };
            state.arrivals[i].claim_event(event, scenario);
            next.push(state);
        }
    }

    fn after(&self, result: &CallResult) -> Self {
        Self {
            table: result.table.clone(),
            faults_left: self.faults_left - result.faults,
            ..self.clone()
        }
    }

    fn read_to_release(&self, i: usize, scenario: &Scenario, next: &mut Vec<Self>) {
        for result in self.table.read(self.faults_left) {
            let mut state = self.after(&result);
            state.arrivals[i].phase = match result.found {
                Some((row, version)) if row.id == arrival::id(i as u8) => {
                    let checked = scenario.mutation != Mutation::ReleasesWithoutVersionCheck;
                    Phase::Releasing(checked.then_some(version))
                }
                Some(_) => Phase::Done,
                None => Phase::ReadingToRelease,
            };
            next.push(state);
        }
    }

    fn end_claim_steps(
        &self,
        i: usize,
        claim_state: ClaimState,
        version: Option<u64>,
        next: &mut Vec<Self>,
    ) {
        let write = Write::new(arrival::row(i as u8, claim_state), version);
        for result in self.table.write(&write, self.faults_left) {
            let mut state = self.after(&result);
            let done = result.event == ClaimEvent::Stored;
            state.arrivals[i].phase = match (done, claim_state) {
                (true, _) => Phase::Done,
                (false, ClaimState::Released) => Phase::ReadingToRelease,
                (false, _) => Phase::Finishing,
            };
            next.push(state);
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
        let mut state = self.clone();
        let abandoned = state.arrivals[i].run_event(event, scenario);
        if let (Mutation::PoolsSilentConnections, Some(connection)) = (scenario.mutation, abandoned)
        {
            state.pooled.push(connection);
        }
        state
    }

    fn fault(&self, i: usize, event: Event, scenario: &Scenario, next: &mut Vec<Self>) {
        if let Some(state) = self.with_fault() {
            next.push(state.run_event(i, event, scenario));
        }
    }

    fn connect(&self, i: usize, kind: ConnectionSource, scenario: &Scenario) -> Self {
        let mut state = self.clone();
        let pooled = match kind {
            ConnectionSource::PooledOrNew => state.pooled.pop(),
            ConnectionSource::New | ConnectionSource::RecentOrNew => None,
        };
        let connection = pooled.unwrap_or(state.next_connection);
        state.next_connection += u8::from(pooled.is_none());
        state.arrivals[i].set_connection(connection);
        let reused = pooled.is_some();
        state.run_event(i, Event::Connected { reused }, scenario)
    }

    fn send(&self, i: usize, scenario: &Scenario) -> Self {
        let mut state = self.clone();
        state.sent.push(SentRequest {
            connection: self.arrivals[i].connection(),
            arrival: i as u8,
            ran: false,
        });
        state.run_event(i, Event::SendStarted, scenario)
    }

    fn await_steps(&self, i: usize, scenario: &Scenario, next: &mut Vec<Self>) {
        let connection = self.arrivals[i].connection();
        let first = self.sent.iter().position(|s| s.connection == connection);
        if let Some(at) = first {
            if self.sent[at].ran {
                next.push(self.answer(i, at, scenario));
                self.fault(i, Event::Failed(AttemptFailure::Malformed), scenario, next);
            } else if let Some(mut state) = self.with_fault() {
                state.sent.remove(at);
                next.push(state.run_event(i, Event::Failed(AttemptFailure::Shed), scenario));
            }
        }
        self.fault(i, Event::Failed(AttemptFailure::Lost), scenario, next);
        if self.arrivals[i].would_retry_on_silence() {
            self.fault(i, Event::SilenceTimeout, scenario, next);
        }
    }

    /// Relays the first answer on the connection to the caller of arrival `i`.
    fn answer(&self, i: usize, at: usize, scenario: &Scenario) -> Self {
        let mut state = self.run_event(i, Event::ResponseHead, scenario);
        let sent = state.sent.remove(at);
        state.arrivals[i].reported = Some(Reported::AnswerOf(sent.arrival));
        state.pooled.push(sent.connection);
        state
    }
}

/// Returns what the caller concludes from an outcome.
fn reported(outcome: Outcome) -> Reported {
    match outcome {
        Outcome::NotRun => Reported::NotRun,
        Outcome::Answer | Outcome::Unknown => Reported::Unknown,
    }
}
