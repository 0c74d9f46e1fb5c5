//! Reading and writing claims.

use std::{
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::store::{
    Row, RowCheck, RowKey, RowWrite, StoreError, Table, TransactOutcome, Transaction,
};

use super::{
    ClaimAction, ClaimEvent, ClaimId, ClaimKey, ClaimRefusal, ClaimRow, ClaimState,
    ClaimStateMachine, RequestDigest,
};

/// Table of claims.
pub(super) const CLAIMS_TABLE: &str = "claims";
/// Tries to note the end of a claimed request.
const END_TRIES: u32 = 5;
/// Time between two such tries.
const END_INTERVAL: Duration = Duration::from_millis(500);

/// A claim that was given; its request may run once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    key: ClaimKey,
    row: ClaimRow,
}

/// Reads and writes claims.
#[derive(Clone)]
pub struct ClaimStore {
    table: Rc<dyn Table>,
}

impl ClaimStore {
    /// Makes a store of claims in `table`.
    pub fn new(table: Rc<dyn Table>) -> Self {
        Self { table }
    }

    /// Claims the run of a request.
    ///
    /// # Errors
    ///
    /// Returns why the request may not run.
    pub async fn claim(
        &self,
        key: ClaimKey,
        digest: RequestDigest,
        request_id: &str,
    ) -> Result<Claim, ClaimRefusal> {
        let row = ClaimRow {
            id: ClaimId::random(),
            digest,
            request_id: request_id.to_owned(),
            created_s: unix_now_s(),
            state: ClaimState::Running,
        };
        let claim = Claim { key, row };
        let mut machine = ClaimStateMachine::new(claim.row.id, digest);
        let mut action = ClaimAction::Write(0);
        loop {
            action = match action {
                ClaimAction::Write(version) => {
                    machine.step(write_event(self.write(&claim, version).await))
                }
                ClaimAction::Read => self.read_step(&claim.key, &mut machine).await,
                ClaimAction::Run => return Ok(claim),
                ClaimAction::Refuse(refusal) => {
                    if machine.may_be_stored() {
                        monoio::spawn(self.clone().release(claim));
                    }
                    return Err(refusal);
                }
            };
        }
    }

    async fn read_step(&self, key: &ClaimKey, machine: &mut ClaimStateMachine) -> ClaimAction {
        match self.read(key).await {
            Ok(Some((row, version))) => machine.step(ClaimEvent::Present(&row, version)),
            Ok(None) => machine.step(ClaimEvent::Absent),
            Err(_) => machine.step(ClaimEvent::ReadFailed),
        }
    }

    /// Notes that a target answered the claimed request.
    ///
    /// No version is checked: only its owner changes a running claim, and the note is the same
    /// however often it is written.
    pub async fn finish(self, mut claim: Claim, status: u16) {
        claim.row.state = ClaimState::Finished { status };
        for _ in 0..END_TRIES {
            let tx = Transaction {
                checks: Vec::new(),
                writes: vec![row_write(&claim)],
            };
            if self.table.transact(&tx).await.is_ok() {
                return;
            }
            monoio::time::sleep(END_INTERVAL).await;
        }
        log::warn!("request {}: claim not finished", claim.row.request_id);
    }

    /// Notes that the claimed request did not run.
    ///
    /// The version is checked, so that a late write never takes the claim of a later request.
    pub async fn release(self, mut claim: Claim) {
        claim.row.state = ClaimState::Released;
        for _ in 0..END_TRIES {
            match self.read(&claim.key).await {
                Ok(Some((row, version))) if row.id == claim.row.id => {
                    let released = row.state == ClaimState::Released;
                    if released
                        || self.write(&claim, version).await == Ok(TransactOutcome::Committed)
                    {
                        return;
                    }
                }
                Ok(Some(_)) => return,
                Ok(None) | Err(_) => {}
            }
            monoio::time::sleep(END_INTERVAL).await;
        }
        log::warn!("request {}: claim not released", claim.row.request_id);
    }

    async fn write(&self, claim: &Claim, version: u64) -> Result<TransactOutcome, StoreError> {
        let tx = Transaction {
            checks: vec![RowCheck {
                table: CLAIMS_TABLE,
                key: claim.key.as_str().to_owned(),
                version,
            }],
            writes: vec![row_write(claim)],
        };
        self.table.transact(&tx).await
    }

    async fn read(&self, key: &ClaimKey) -> Result<Option<(ClaimRow, u64)>, StoreError> {
        let key = RowKey {
            table: CLAIMS_TABLE,
            key: key.as_str().to_owned(),
        };
        let rows = self.table.read(&[key]).await?;
        rows.into_iter().next().flatten().map(parse).transpose()
    }
}

fn parse(row: Row) -> Result<(ClaimRow, u64), StoreError> {
    let version = row.version;
    let row = serde_json::from_value(row.value).map_err(|_| StoreError::BadAnswer)?;
    Ok((row, version))
}

fn write_event(written: Result<TransactOutcome, StoreError>) -> ClaimEvent<'static> {
    match written {
        Ok(TransactOutcome::Committed) => ClaimEvent::Stored,
        Ok(TransactOutcome::ConditionFailed) => ClaimEvent::Conflict,
        Err(StoreError::Refused) => ClaimEvent::WriteRefused,
        Err(StoreError::NoAnswer | StoreError::BadAnswer) => ClaimEvent::WriteLost,
    }
}

fn row_write(claim: &Claim) -> RowWrite {
    RowWrite {
        table: CLAIMS_TABLE,
        key: claim.key.as_str().to_owned(),
        value: serde_json::to_value(&claim.row).ok(),
    }
}

/// Returns the wall-clock time, s since the Unix epoch.
pub(super) fn unix_now_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}
