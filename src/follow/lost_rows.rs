//! Rows of this daemon and of the fleet that are written again after the store lost them.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use monoio::time::sleep;

use crate::{
    metrics::{Counter, Metrics},
    peer::FleetSecrets,
    store::{Era, RowPut, RowStore, StoreError, StoredRow, WriteOutcome},
};

use super::{
    join::{FLEET_PART, SECRET_KEY},
    FollowedTable, MemberRow, FLEET_TABLE, MEMBERS_TABLE,
};

/// Interval of checks for a new era.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait before the first call in a new era, which spreads the calls of the whole fleet.
const SPREAD: Duration = Duration::from_millis(1500);
/// Longest wait after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// What to do about the secret of the fleet in a new era.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SecretAction {
    /// The store has the secret.
    Keep,
    /// The store lost the secret or has one that no daemon can use; it is written again.
    Write,
    /// A daemon that started meanwhile generated another secret. It signs from now on, as that daemon
    /// knows no other one; both are accepted.
    Adopt(String),
}

/// Decides about the secret from its row in a new era.
pub fn secret_action(row: Option<&StoredRow>, secret: &str) -> SecretAction {
    let value = row.and_then(|row| row.value.as_ref());
    match value.and_then(|v| std::str::from_utf8(v).ok()) {
        None | Some("") => SecretAction::Write,
        Some(stored) if stored == secret => SecretAction::Keep,
        Some(stored) => SecretAction::Adopt(stored.to_owned()),
    }
}

/// Returns the version that the row of a daemon must have for a write that restores it, 0 if it is
/// absent; `None` if the store has it as it should be.
pub fn lost_member_version(row: Option<&StoredRow>, member: &MemberRow) -> Option<u64> {
    let present = row.filter(|row| row.value.is_some());
    let value = present.and_then(|row| row.value.as_ref());
    let stored = value.and_then(|v| serde_json::from_slice::<MemberRow>(v).ok());
    let is_lost = stored.as_ref() != Some(member);
    is_lost.then(|| present.map_or(0, |row| row.version))
}

/// Dependencies of a [`LostRowsTask`].
pub struct LostRowsParts {
    /// The store.
    pub store: Rc<dyn RowStore>,
    /// The local copy of the members.
    pub members: Rc<FollowedTable>,
    /// Name of this host.
    pub host: String,
    /// The row from which other daemons discover this one.
    pub row: MemberRow,
    /// The secret with which this daemon joined.
    pub secret: String,
    /// The secrets in use.
    pub secrets: FleetSecrets,
    /// The counters.
    pub metrics: Rc<Metrics>,
}

/// Writes the row of this daemon and the secret of the fleet again when the store came back from a copy
/// without them. Each write is conditional on the version that was read.
pub struct LostRowsTask {
    parts: LostRowsParts,
    /// Era in which the rows are known to be in the store.
    checked: Era,
}

impl LostRowsTask {
    /// Creates the task of a daemon that has just joined the fleet.
    pub fn new(parts: LostRowsParts) -> Self {
        let checked = parts.store.era();
        Self { parts, checked }
    }

    /// Runs until the daemon exits.
    pub async fn run(mut self) {
        loop {
            let era = self.parts.members.era();
            if era > self.checked {
                sleep(SPREAD.mul_f64(fastrand::f64())).await;
                self.restore(era).await;
                self.checked = era;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Restores the rows in `era`, or until there is a later one.
    async fn restore(&mut self, era: Era) {
        let mut known: Option<StoredRow> = self.parts.members.row(&self.parts.host);
        while let Err(e) = self.try_restore(&mut known).await {
            let reason = e.to_string();
            log::warn!(era:% = era, reason = reason.as_str(); "cannot restore lost rows, retrying");
            if self.parts.members.era() > era {
                return;
            }
            sleep(MAX_BACKOFF.mul_f64(0.25 + 0.75 * fastrand::f64())).await;
        }
    }

    async fn try_restore(&mut self, known: &mut Option<StoredRow>) -> Result<(), StoreError> {
        self.restore_member(known).await?;
        self.restore_secret().await
    }

    async fn restore_member(&self, known: &mut Option<StoredRow>) -> Result<(), StoreError> {
        let LostRowsParts { host, row, .. } = &self.parts;
        while let Some(expected) = lost_member_version(known.as_ref(), row) {
            let part = &row.data_centre;
            let put = RowPut::json(MEMBERS_TABLE, part, host, Some(expected), row)?;
            match self.parts.store.write(&[put]).await? {
                WriteOutcome::Committed { version } => {
                    self.log_restored(host, MEMBERS_TABLE);
                    *known = Some(StoredRow {
                        key: host.clone(),
                        value: serde_json::to_vec(row).ok().map(Bytes::from),
                        version: version.number,
                    });
                }
                WriteOutcome::Conflict(rows) => {
                    let current = rows.into_iter().find(|r| r.key == *host);
                    if current == *known {
                        return Err(StoreError::BadAnswer);
                    }
                    *known = current;
                }
            }
        }
        Ok(())
    }

    async fn restore_secret(&mut self) -> Result<(), StoreError> {
        let page = (self.parts.store).read(FLEET_TABLE, FLEET_PART, "").await?;
        let row = page.rows.iter().find(|row| row.key == SECRET_KEY);
        match secret_action(row, &self.parts.secret) {
            SecretAction::Keep => Ok(()),
            SecretAction::Write => self.write_secret(row.map_or(0, |row| row.version)).await,
            SecretAction::Adopt(secret) => {
                self.adopt_secret(secret);
                Ok(())
            }
        }
    }

    async fn write_secret(&mut self, expected: u64) -> Result<(), StoreError> {
        let put = RowPut {
            table: FLEET_TABLE,
            part: FLEET_PART.to_owned(),
            key: SECRET_KEY.to_owned(),
            expected: Some(expected),
            value: Bytes::from(self.parts.secret.clone()),
        };
        match self.parts.store.write(&[put]).await? {
            WriteOutcome::Committed { .. } => {
                self.log_restored(SECRET_KEY, FLEET_TABLE);
                Ok(())
            }
            WriteOutcome::Conflict(rows) => {
                let row = rows.iter().find(|row| row.key == SECRET_KEY);
                match secret_action(row, &self.parts.secret) {
                    SecretAction::Keep => Ok(()),
                    SecretAction::Write => Err(StoreError::BadAnswer),
                    SecretAction::Adopt(secret) => {
                        self.adopt_secret(secret);
                        Ok(())
                    }
                }
            }
        }
    }

    fn adopt_secret(&mut self, secret: String) {
        log::warn!("the store has another fleet secret in the new era, adopted");
        let former = std::mem::replace(&mut self.parts.secret, secret);
        self.parts.secrets.set(&[self.parts.secret.clone(), former]);
    }

    fn log_restored(&self, key: &str, table: &str) {
        self.parts.metrics.count(Counter::RowsRestored);
        log::info!(table = table, key = key; "lost row written again");
    }
}
