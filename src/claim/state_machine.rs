//! The state machine that decides whether a claim is granted.

use super::{ClaimId, ClaimRefusal, ClaimRow, ClaimState, FirstRequest, RequestDigest};

/// Maximum number of table calls for one claim.
const MAX_CALLS: u32 = 6;

/// The result of a table call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimEvent<'a> {
    /// The write was committed.
    Stored,
    /// The write was not committed, because the row has another version.
    Conflict,
    /// The response to the write was lost; the write may have been committed, or may still be.
    WriteLost,
    /// The table rejected the write.
    WriteRefused,
    /// The row was read; carries the row and its version.
    Present(&'a ClaimRow, u64),
    /// The row was read and is absent.
    Absent,
    /// The row could not be read.
    ReadFailed,
}

/// The next action for a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ClaimAction {
    /// Write the row if it has this version, 0 if it must be absent.
    Write(u64),
    /// Read the row.
    Read,
    /// The claim is granted; run the request.
    Run,
    /// The claim is refused.
    Refuse(ClaimRefusal),
}

/// Decides whether a claim is granted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimStateMachine {
    id: ClaimId,
    digest: RequestDigest,
    calls: u32,
    write_lost: bool,
}

impl ClaimStateMachine {
    /// Creates the state machine of a claim; its first action is `ClaimAction::Write(0)`.
    pub fn new(id: ClaimId, digest: RequestDigest) -> Self {
        Self {
            id,
            digest,
            calls: 1,
            write_lost: false,
        }
    }

    /// Returns whether a write without a response may have been committed, or may still be.
    pub fn may_be_stored(&self) -> bool {
        self.write_lost
    }

    /// Processes `event` and returns the next action.
    pub fn step(&mut self, event: ClaimEvent<'_>) -> ClaimAction {
        match event {
            ClaimEvent::Stored => ClaimAction::Run,
            ClaimEvent::Conflict | ClaimEvent::ReadFailed => self.call(ClaimAction::Read),
            ClaimEvent::WriteLost => {
                self.write_lost = true;
                self.call(ClaimAction::Read)
            }
            ClaimEvent::WriteRefused => ClaimAction::Refuse(ClaimRefusal::Unavailable),
            ClaimEvent::Absent => self.call(ClaimAction::Write(0)),
            ClaimEvent::Present(row, version) => self.evaluate(row, version),
        }
    }

    fn evaluate(&mut self, row: &ClaimRow, version: u64) -> ClaimAction {
        if row.id == self.id {
            return ClaimAction::Run;
        }
        if row.state == ClaimState::Released {
            return self.call(ClaimAction::Write(version));
        }
        if row.digest != self.digest {
            return ClaimAction::Refuse(ClaimRefusal::Mismatch);
        }
        let status = match row.state {
            ClaimState::Finished { status } => Some(status),
            ClaimState::Running | ClaimState::Released => None,
        };
        ClaimAction::Refuse(ClaimRefusal::Held(FirstRequest {
            request_id: row.request_id.clone(),
            status,
        }))
    }

    fn call(&mut self, action: ClaimAction) -> ClaimAction {
        if self.calls >= MAX_CALLS {
            return ClaimAction::Refuse(ClaimRefusal::Unavailable);
        }
        self.calls += 1;
        action
    }
}
