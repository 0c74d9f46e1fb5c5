//! Exhaustive search over committing: two editors, a table, lost and late writes.
//!
//! The search drives the product's own [`CommitProtocol`]; only the table and the network are models.

use std::{cell::Cell, time::Instant};

use chervillug::{
    catalog::EditId,
    revision::{CommitEvent, CommitOutcome, CommitProtocol, CommitStep, ObservedHead},
};
use pathfinding::directed::bfs::bfs;

const EDITORS: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    Correct,
    /// Takes an absent row as proof that a write failed, without the guard.
    TrustsAbsentRow,
    /// Takes a lost answer as a failed write.
    TrustsLostAnswer,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Write {
    editor: usize,
    version: u64,
    /// Revision of the edit; none for a guard.
    revision: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Editor {
    protocol: CommitProtocol,
    step: CommitStep,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    version: u64,
    /// Editors whose edits were applied, one for each revision from 1.
    applied: Vec<usize>,
    /// Writes whose sender gave up waiting, still under way.
    late: Vec<Write>,
    editors: Vec<Editor>,
    faults: u32,
}

fn id_of(editor: usize) -> EditId {
    EditId([editor as u8 + 1; 16])
}

impl State {
    fn new(base_revision: Option<u64>, faults: u32) -> Self {
        let editor = |i| {
            let protocol = CommitProtocol::new(id_of(i), base_revision);
            let step = protocol.first_step();
            Editor { protocol, step }
        };
        Self {
            version: 0,
            applied: Vec::new(),
            late: Vec::new(),
            editors: (0..EDITORS).map(editor).collect(),
            faults,
        }
    }

    fn write(&mut self, write: Write) -> CommitEvent {
        if write.version != self.version {
            return CommitEvent::ConditionFailed;
        }
        self.version += 1;
        if write.revision.is_some() {
            self.applied.push(write.editor);
        }
        CommitEvent::Written
    }

    fn advance(mut self, editor: usize, event: CommitEvent) -> Self {
        let e = &mut self.editors[editor];
        e.step = e.protocol.advance(event);
        self
    }

    fn faulty(&self) -> Option<Self> {
        let mut next = self.clone();
        next.faults = next.faults.checked_sub(1)?;
        Some(next)
    }

    fn write_successors(&self, write: Write, variant: Variant, out: &mut Vec<Self>) {
        let mut done = self.clone();
        let event = done.write(write);
        out.push(done.clone().advance(write.editor, event));
        let lost = match variant {
            Variant::TrustsLostAnswer => CommitEvent::ConditionFailed,
            _ => CommitEvent::AnswerLost,
        };
        if let Some(mut late) = self.faulty() {
            late.late.push(write);
            late.late.sort_unstable();
            out.push(late.advance(write.editor, lost));
            done.faults -= 1;
            out.push(done.advance(write.editor, lost));
        }
        if let Some(refused) = self.faulty() {
            out.push(refused.advance(write.editor, CommitEvent::WriteRefused));
        }
    }

    fn editor_successors(&self, i: usize, variant: Variant, out: &mut Vec<Self>) {
        let head = self.applied.len() as u64;
        let event = match self.editors[i].step {
            CommitStep::End(_) => return,
            CommitStep::Write { revision, version } => {
                let write = Write {
                    editor: i,
                    version,
                    revision: Some(revision),
                };
                return self.write_successors(write, variant, out);
            }
            CommitStep::WriteFence(_) if variant == Variant::TrustsAbsentRow => {
                out.push(self.clone().advance(i, CommitEvent::Written));
                return;
            }
            CommitStep::WriteFence(fence) => {
                let write = Write {
                    editor: i,
                    version: fence.version,
                    revision: None,
                };
                return self.write_successors(write, variant, out);
            }
            CommitStep::ReadHead => CommitEvent::Head(ObservedHead {
                revision: head,
                lists_revision: head,
                version: self.version,
            }),
            CommitStep::ReadBack { revision } => CommitEvent::ReadBack {
                version: self.version,
                found: self.applied.get(revision as usize - 1).map(|e| id_of(*e)),
            },
        };
        out.push(self.clone().advance(i, event));
        if let Some(failed) = self.faulty() {
            out.push(failed.advance(i, CommitEvent::ReadFailed));
        }
    }

    fn successors(&self, variant: Variant) -> Vec<Self> {
        let mut out = Vec::new();
        for i in 0..EDITORS {
            self.editor_successors(i, variant, &mut out);
        }
        for (at, write) in self.late.iter().enumerate() {
            let mut dropped = self.clone();
            dropped.late.remove(at);
            let mut arrived = dropped.clone();
            arrived.write(*write);
            out.push(dropped);
            out.push(arrived);
        }
        out
    }

    /// Tells whether an editor was told what is not so, or an edit was applied twice.
    fn is_violation(&self) -> bool {
        (0..EDITORS).any(|i| {
            let times = self.applied.iter().filter(|e| **e == i).count();
            let told_wrongly = match self.editors[i].step {
                CommitStep::End(CommitOutcome::Committed(r)) => {
                    self.applied.get(r as usize - 1) != Some(&i)
                }
                CommitStep::End(CommitOutcome::Stale { .. } | CommitOutcome::Unavailable) => {
                    times > 0
                }
                _ => false,
            };
            times > 1 || told_wrongly
        })
    }
}

#[test]
fn committing_tells_the_truth_and_applies_once() {
    struct Case {
        variant: Variant,
        base_revision: Option<u64>,
        faults: u32,
        violated: bool,
    }
    let case = |variant, base_revision, faults| Case {
        variant,
        base_revision,
        faults,
        violated: variant != Variant::Correct,
    };
    let cases = [
        case(Variant::Correct, None, 4),
        case(Variant::Correct, Some(0), 4),
        case(Variant::TrustsAbsentRow, None, 4),
        case(Variant::TrustsLostAnswer, None, 4),
    ];
    for case in &cases {
        let begin = Instant::now();
        let states = Cell::new(0_u64);
        let path = bfs(
            &State::new(case.base_revision, case.faults),
            |s| {
                states.set(states.get() + 1);
                s.successors(case.variant)
            },
            State::is_violation,
        );
        println!(
            "{:?}, from {:?}, {} faults: {} states, {:?}, violation after {:?} steps",
            case.variant,
            case.base_revision,
            case.faults,
            states.get(),
            begin.elapsed(),
            path.as_ref().map(|p| p.len() - 1),
        );
        assert_eq!(
            path.is_some(),
            case.violated,
            "{:?}: {path:?}",
            case.variant
        );
    }
}
