//! The protocol for committing one edit to the table service.

use crate::catalog::EditId;

/// Attempts to write one edit when other edits are committed first.
const MAX_WRITES: u32 = 20;
/// Reads and fence writes to resolve a write whose response was lost.
const MAX_RESOLVES: u32 = 8;

/// The head row as read from the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ObservedHead {
    /// Newest revision.
    pub revision: u64,
    /// Revision of the last edit that changed lists or keys.
    pub lists_revision: u64,
    /// Version of the row, 0 if it is absent.
    pub version: u64,
}

/// A rewrite of the head row with its old value, so that an earlier write that expects the same
/// version can no longer succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fence {
    /// Version that the head row must still have.
    pub version: u64,
}

/// The next step of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CommitStep {
    /// Adopt the newest revision and read the head row.
    ReadHead,
    /// Write the edit as `revision`, on the condition that the head row has `version`.
    Write {
        /// Revision of the edit.
        revision: u64,
        /// Version that the head row must have.
        version: u64,
    },
    /// Write the fence.
    WriteFence(Fence),
    /// Read the head row and the edit of `revision` in one call.
    ReadBack {
        /// Revision of the edit.
        revision: u64,
    },
    /// Stop with this outcome.
    End(CommitOutcome),
}

/// The result of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CommitEvent {
    /// The head row was read, and this daemon holds its revision.
    Head(ObservedHead),
    /// A read failed.
    ReadFailed,
    /// A write took effect.
    Written,
    /// The condition of a write was not met; it took no effect.
    ConditionFailed,
    /// The service refused a write; it took no effect.
    WriteRefused,
    /// The response to a write was lost; it may have taken effect or still do so.
    ResponseLost,
    /// The head row and the edit of the revision were read.
    ReadBack {
        /// Version of the head row.
        version: u64,
        /// Identity of the edit stored for the revision, if any.
        found: Option<EditId>,
    },
}

/// The outcome of committing an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CommitOutcome {
    /// The edit was committed as this revision.
    Committed(u64),
    /// The edit was based on other lists than the current ones, or other edits were committed first at
    /// each attempt; it can no longer take effect.
    Stale {
        /// The current revision.
        current: u64,
    },
    /// The table service cannot be reached or refused the edit, which can no longer take effect.
    Unavailable,
    /// The edit may have taken effect or still do so.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Write {
    revision: u64,
    version: u64,
}

/// The protocol for committing one edit, as a state transition system without I/O.
///
/// After a lost response the outcome of the write is unknown, and an absent row does not prove
/// that it failed, since the write may still be in flight. A [`Fence`] resolves this: it takes
/// effect only if the write did not, and then the condition of the write can never be met again.
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
    /// Starts the protocol for the edit `id`, which is based on the lists of `base_revision` if
    /// given.
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

    /// Processes the result of the last step and returns the next one.
    pub fn advance(&mut self, event: CommitEvent) -> CommitStep {
        match (event, self.write) {
            (CommitEvent::Head(head), None) => self.start_write(head),
            (_, None) => CommitStep::End(CommitOutcome::Unavailable),
            (CommitEvent::Written, Some(write)) if self.resolves == 0 => {
                CommitStep::End(CommitOutcome::Committed(write.revision))
            }
            (CommitEvent::Written, Some(_)) => self.restart(),
            (CommitEvent::ConditionFailed, Some(_)) if self.resolves == 0 => self.restart(),
            (CommitEvent::WriteRefused, Some(_)) if self.resolves == 0 => {
                CommitStep::End(CommitOutcome::Unavailable)
            }
            (CommitEvent::ReadBack { version, found }, Some(write)) => {
                self.read_back(write, version, found)
            }
            (CommitEvent::ResponseLost, Some(write)) if self.resolves == 0 => self.fence(write),
            (_, Some(write)) => self.resolve(CommitStep::ReadBack {
                revision: write.revision,
            }),
        }
    }

    fn start_write(&mut self, head: ObservedHead) -> CommitStep {
        self.current = head.revision;
        let is_stale = self
            .base_revision
            .is_some_and(|base| base < head.lists_revision || base > head.revision);
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

    /// Restarts with a new read of the head row; the last write can no longer take effect.
    fn restart(&mut self) -> CommitStep {
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
            Some(_) => self.restart(),
            None if version != write.version => self.restart(),
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
