//! One arrival of the request at a host of the fleet.

use chervillug::{
    claim::{
        ClaimAction, ClaimEvent, ClaimId, ClaimRow, ClaimState, ClaimStateMachine, RequestDigest,
    },
    outcome::{ErrorKind, Outcome},
    retry::{Action, Event, RequestStateMachine, RetryPolicy},
};

use super::{reported, Mutation, Scenario};

/// The outcome that was reported to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Reported {
    AnswerOf(u8),
    NotRun,
    Unknown,
}

/// Phase of an arrival.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    Waiting,
    Claiming(ClaimStateMachine, ClaimAction),
    Running {
        machine: RequestStateMachine,
        action: Action,
        connection: u8,
    },
    Finishing,
    ReadingToRelease,
    Releasing(Option<u64>),
    Done,
}

/// One arrival of the request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Arrival {
    pub(crate) phase: Phase,
    pub(crate) runs: u8,
    pub(crate) reported: Option<Reported>,
}

pub(crate) fn id(i: u8) -> ClaimId {
    ClaimId([i; 16])
}

fn digest() -> RequestDigest {
    RequestDigest::new("POST", "/orders", Some(b"one"))
}

pub(crate) fn row(i: u8, state: ClaimState) -> ClaimRow {
    ClaimRow {
        id: id(i),
        digest: digest(),
        request_id: i.to_string(),
        created_s: 0,
        state,
    }
}

impl Arrival {
    pub(crate) fn new() -> Self {
        Self {
            phase: Phase::Waiting,
            runs: 0,
            reported: None,
        }
    }

    pub(crate) fn begin(&mut self, i: u8, scenario: &Scenario) {
        if scenario.claimed {
            let machine = ClaimStateMachine::new(id(i), digest());
            self.phase = Phase::Claiming(machine, ClaimAction::Write(0));
        } else {
            self.run(scenario);
        }
    }

    fn run(&mut self, scenario: &Scenario) {
        let mutated = scenario.mutation == Mutation::RetriesAfterPossibleRun;
        let machine = RequestStateMachine::new(RetryPolicy {
            repeatable: scenario.repeatable || mutated,
            replayable: scenario.replayable,
            retry_on_silence: true,
            trust_recent_connections: false,
            max_attempts: 3,
        });
        self.phase = Phase::Running {
            machine,
            action: Action::Pick,
            connection: 0,
        };
    }

    pub(crate) fn claim_event(&mut self, event: ClaimEvent<'_>, scenario: &Scenario) {
        let Phase::Claiming(machine, action) = &mut self.phase else {
            return;
        };
        *action = machine.step(event);
        let may_be_stored = machine.may_be_stored();
        match action {
            ClaimAction::Run => self.run(scenario),
            ClaimAction::Refuse(_) if scenario.mutation == Mutation::RunsUnclaimed => {
                self.run(scenario);
            }
            ClaimAction::Refuse(refusal) => {
                self.reported = Some(reported(refusal.error_kind().response().outcome));
                self.phase = if may_be_stored {
                    Phase::ReadingToRelease
                } else {
                    Phase::Done
                };
            }
            ClaimAction::Write(_) | ClaimAction::Read => {}
        }
    }

    pub(crate) fn would_retry_on_silence(&self) -> bool {
        matches!(&self.phase, Phase::Running { machine, .. } if machine.would_retry_on_silence())
    }

    pub(crate) fn connection(&self) -> u8 {
        match self.phase {
            Phase::Running { connection, .. } => connection,
            _ => 0,
        }
    }

    pub(crate) fn set_connection(&mut self, to: u8) {
        if let Phase::Running { connection, .. } = &mut self.phase {
            *connection = to;
        }
    }

    /// Applies `event`; returns the connection of an attempt that was abandoned as silent.
    pub(crate) fn run_event(&mut self, event: Event, scenario: &Scenario) -> Option<u8> {
        let Phase::Running {
            machine,
            action,
            connection,
        } = &mut self.phase
        else {
            return None;
        };
        let was_silent =
            machine.would_retry_on_silence() || matches!(action, Action::CheckBudget(_));
        let next = machine.step(event)?;
        let abandoned = was_silent && next == Action::Pick;
        let connection = abandoned.then_some(*connection);
        *action = next;
        let may_have_run = machine.may_have_run();
        match next {
            Action::RespondError(kind) => self.report_error(kind, may_have_run, scenario),
            Action::Cancel => self.end(may_have_run, scenario),
            Action::Relay => {
                self.phase = if scenario.claimed {
                    Phase::Finishing
                } else {
                    Phase::Done
                };
            }
            _ => {}
        }
        connection
    }

    fn report_error(&mut self, kind: ErrorKind, may_have_run: bool, scenario: &Scenario) {
        let mutated = scenario.mutation == Mutation::ReportsTimeoutAsNotRun;
        let outcome = if mutated && kind == ErrorKind::TargetTimeout {
            Outcome::NotRun
        } else {
            kind.response().outcome
        };
        self.reported = Some(reported(outcome));
        self.end(may_have_run, scenario);
    }

    fn end(&mut self, may_have_run: bool, scenario: &Scenario) {
        let keeps = may_have_run && scenario.mutation != Mutation::ReleasesAfterPossibleRun;
        self.phase = if scenario.claimed && !keeps {
            Phase::ReadingToRelease
        } else {
            Phase::Done
        };
    }
}
