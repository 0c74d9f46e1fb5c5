//! The steps of committing one edit to the table service.

use crate::catalog::EditId;

/// Writes of one edit, against racing edits.
const MAX_WRITES: u32 = 20;
/// Reads and guard writes to find out what became of a write whose answer was lost.
const MAX_RESOLVES: u32 = 8;

/// The head row as read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ObservedHead {
    /// Newest revision.
    pub revision: u64,
    /// Revision of the last edit that changed lists or keys.
    pub lists_revision: u64,
    /// Version of the row, 0 when it is absent.
    pub version: u64,
}

/// A write of the head row with its old value, which makes an earlier write of the same version
/// fail for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fence {
    /// Version that the head row must still have.
    pub version: u64,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CommitStep {
    /// Adopts the newest revision and reads the head row.
    ReadHead,
    /// Writes the edit as `revision`, on the condition that the head row has `version`.
    Write {
        /// Revision of the edit.
        revision: u64,
        /// Version that the head row must have.
        version: u64,
    },
    /// Writes the guard.
    WriteFence(Fence),
    /// Reads the head row and the edit of `revision` together.
    ReadBack {
        /// Revision of the edit.
        revision: u64,
    },
    /// Ends.
    End(CommitOutcome),
}

/// What came of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CommitEvent {
    /// The head row, whose revision this daemon holds.
    Head(ObservedHead),
    /// A read failed.
    ReadFailed,
    /// A write took effect.
    Written,
    /// The condition of a write did not hold; it took no effect.
    ConditionFailed,
    /// The service refused a write; it took no effect.
    WriteRefused,
    /// The answer to a write was lost; it may have taken effect or still do so.
    AnswerLost,
    /// The version of the head row, and the edit found under the revision.
    ReadBack {
        /// Version of the head row.
        version: u64,
        /// Identity of the edit under the revision.
        found: Option<EditId>,
    },
}

/// What became of an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CommitOutcome {
    /// It led to this revision.
    Committed(u64),
    /// It was made from older lists than the current ones, and can no longer take effect.
    Stale {
        /// The current revision.
        current: u64,
    },
    /// The service cannot be reached, and the edit can not take effect.
    Unavailable,
    /// It may have taken effect or still do so.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Write {
    revision: u64,
    version: u64,
}

/// The steps of committing one edit.
///
/// A lost answer proves nothing, and neither does an absent row, since the write may still be
/// under way. The guard settles it: it takes effect only if the write did not, and then the
/// write's condition can never hold again.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CommitProtocol {
    id: EditId,
    base_revision: Option<u64>,
    write: Option<Write>,
    writes: u32,
    resolves: u32,
    current: u64,
}

impl CommitProtocol {
    /// Makes the commit of the edit `id`, made from the lists of revision `base_revision` if given.
    pub fn new(id: EditId, base_revision: Option<u64>) -> Self {
        Self {
            id,
            base_revision,
            write: None,
            writes: 0,
            resolves: 0,
            current: 0,
        }
    }

    /// Returns the identity of the edit.
    pub fn id(&self) -> EditId {
        self.id
    }

    /// Returns the first step.
    pub fn first_step(&self) -> CommitStep {
        CommitStep::ReadHead
    }

    /// Takes in what came of the last step and returns the next one.
    pub fn advance(&mut self, event: CommitEvent) -> CommitStep {
        match (event, self.write) {
            (CommitEvent::Head(head), None) => self.start_write(head),
            (_, None) => CommitStep::End(CommitOutcome::Unavailable),
            (CommitEvent::Written, Some(write)) if self.resolves == 0 => {
                CommitStep::End(CommitOutcome::Committed(write.revision))
            }
            (CommitEvent::Written, Some(_)) => self.start_again(),
            (CommitEvent::ConditionFailed, Some(_)) if self.resolves == 0 => self.start_again(),
            (CommitEvent::WriteRefused, Some(_)) if self.resolves == 0 => {
                CommitStep::End(CommitOutcome::Unavailable)
            }
            (CommitEvent::ReadBack { version, found }, Some(write)) => {
                self.read_back(write, version, found)
            }
            (CommitEvent::AnswerLost, Some(write)) if self.resolves == 0 => self.fence(write),
            (_, Some(write)) => self.resolve(CommitStep::ReadBack {
                revision: write.revision,
            }),
        }
    }

    fn start_write(&mut self, head: ObservedHead) -> CommitStep {
        self.current = head.revision;
        let is_stale = self
            .base_revision
            .is_some_and(|from| from < head.lists_revision || from > head.revision);
        if is_stale || self.writes == MAX_WRITES {
            let current = self.current;
            return CommitStep::End(CommitOutcome::Stale { current });
        }
        let write = Write {
            revision: head.revision + 1,
            version: head.version,
        };
        self.writes += 1;
        self.write = Some(write);
        CommitStep::Write {
            revision: write.revision,
            version: write.version,
        }
    }

    /// Begins anew; the last write can no longer take effect.
    fn start_again(&mut self) -> CommitStep {
        self.write = None;
        self.resolves = 0;
        CommitStep::ReadHead
    }

    fn fence(&mut self, write: Write) -> CommitStep {
        let version = write.version;
        self.resolve(CommitStep::WriteFence(Fence { version }))
    }

    fn read_back(&mut self, write: Write, version: u64, found: Option<EditId>) -> CommitStep {
        match found {
            Some(id) if id == self.id => CommitStep::End(CommitOutcome::Committed(write.revision)),
            Some(_) => self.start_again(),
            None if version != write.version => self.start_again(),
            None => self.fence(write),
        }
    }

    fn resolve(&mut self, step: CommitStep) -> CommitStep {
        self.resolves += 1;
        if self.resolves > MAX_RESOLVES {
            return CommitStep::End(CommitOutcome::Unknown);
        }
        step
    }
}
