//! The decision whether a claim is given.

use super::{ClaimId, ClaimRefusal, ClaimRow, ClaimState, FirstRequest, RequestDigest};

/// Most calls to the table for one claim.
const MAX_CALLS: u32 = 6;

/// What the table answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimEvent<'a> {
    /// The write took effect.
    Stored,
    /// The write did not take effect, since the row has another version.
    Conflict,
    /// The write's answer was lost; it may take effect now or later.
    WriteLost,
    /// The table refused the write.
    WriteRefused,
    /// The row was read, with its version.
    Present(&'a ClaimRow, u64),
    /// The row was read as absent.
    Absent,
    /// The row could not be read.
    ReadFailed,
}

/// What a claim needs next.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ClaimAction {
    /// Write the row when it has this version, 0 for an absent one.
    Write(u64),
    /// Read the row.
    Read,
    /// The claim is given.
    Run,
    /// The claim is not given.
    Refuse(ClaimRefusal),
}

/// Decides whether a claim is given.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimStateMachine {
    id: ClaimId,
    digest: RequestDigest,
    calls: u32,
    write_lost: bool,
}

impl ClaimStateMachine {
    /// Makes the machine of a claim whose next action is `ClaimAction::Write(0)`.
    pub fn new(id: ClaimId, digest: RequestDigest) -> Self {
        Self {
            id,
            digest,
            calls: 1,
            write_lost: false,
        }
    }

    /// Tells whether a write without an answer may have taken effect, or may still do so.
    pub fn may_be_stored(&self) -> bool {
        self.write_lost
    }

    /// Takes note of `event` and returns what the claim needs next.
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
            ClaimEvent::Present(row, version) => self.judge(row, version),
        }
    }

    fn judge(&mut self, row: &ClaimRow, version: u64) -> ClaimAction {
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
