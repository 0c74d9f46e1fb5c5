//! Registration of a daemon in the fleet through the store.

use std::time::Duration;

use bytes::Bytes;
use monoio::time::sleep;

use crate::store::{read_part, RowPut, RowStore, StoreError, StoredRow, WriteOutcome};

use super::{JoinEvent, JoinPlan, JoinStep, MemberRow, FLEET_TABLE, MEMBERS_TABLE};

/// Part of [`FLEET_TABLE`].
pub(super) const FLEET_PART: &str = "";
/// Key of the secret with which daemons authenticate to each other.
pub(super) const SECRET_KEY: &str = "secret";

/// Dependencies of [`join_fleet`].
pub struct JoinParts<'a> {
    /// The store.
    pub store: &'a dyn RowStore,
    /// Name of this host.
    pub host: &'a str,
    /// The row from which other daemons discover this one.
    pub row: &'a MemberRow,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
}

/// What a daemon knows after it joined.
pub struct JoinedFleet {
    /// The secret with which daemons authenticate to each other.
    pub secret: String,
    /// The members of the data centre.
    pub members: Vec<StoredRow>,
    /// The holders of the slices.
    pub holders: Vec<StoredRow>,
}

/// Registers this daemon, and returns the secret of the fleet, which the first daemon generates, the
/// members of its data centre and the holders of the slices. Retries until the store responds.
pub async fn join_fleet(parts: &JoinParts<'_>) -> JoinedFleet {
    let mut plan = JoinPlan::new(parts.first_start, fastrand::u64(..));
    let mut join = Join {
        parts,
        secret: None,
        members: Vec::new(),
        holders: Vec::new(),
    };
    loop {
        let step = plan.step();
        if step == JoinStep::Joined {
            if let Some(secret) = join.secret.take() {
                return JoinedFleet {
                    secret,
                    members: join.members,
                    holders: join.holders,
                };
            }
        }
        let event = join.perform(step).await.unwrap_or_else(|e| {
            let reason = e.to_string();
            log::warn!(step:? = step, reason = reason.as_str(); "joining the fleet failed, retrying");
            JoinEvent::Failed
        });
        plan.apply(event);
    }
}

struct Join<'a> {
    parts: &'a JoinParts<'a>,
    secret: Option<String>,
    members: Vec<StoredRow>,
    holders: Vec<StoredRow>,
}

impl Join<'_> {
    async fn perform(&mut self, step: JoinStep) -> Result<JoinEvent, StoreError> {
        match step {
            JoinStep::Wait(time) => self.wait(time).await,
            JoinStep::ReadSecret | JoinStep::Joined => self.read_secret().await,
            JoinStep::CreateSecret => self.create_secret().await,
            JoinStep::ReadMembers => self.read_members().await,
            JoinStep::Register => self.register().await,
        }
    }

    async fn wait(&self, time: Duration) -> Result<JoinEvent, StoreError> {
        sleep(time).await;
        Ok(JoinEvent::Waited)
    }

    async fn read_secret(&mut self) -> Result<JoinEvent, StoreError> {
        let page = self.parts.store.read(FLEET_TABLE, FLEET_PART, "").await?;
        let is_secret = |row: &StoredRow| row.key == SECRET_KEY;
        let (secrets, holders): (Vec<_>, Vec<_>) = page.rows.into_iter().partition(is_secret);
        self.holders = holders;
        match secrets.into_iter().next() {
            Some(row) => self.adopt_secret(row),
            None => Ok(JoinEvent::Secret(false)),
        }
    }

    async fn create_secret(&mut self) -> Result<JoinEvent, StoreError> {
        let secret = new_secret()?;
        let put = RowPut {
            table: FLEET_TABLE,
            part: FLEET_PART.to_owned(),
            key: SECRET_KEY.to_owned(),
            expected: Some(0),
            value: Bytes::from(secret.clone()),
        };
        match self.parts.store.write(&[put]).await? {
            WriteOutcome::Committed { .. } => {
                self.secret = Some(secret);
                Ok(JoinEvent::Secret(true))
            }
            WriteOutcome::Conflict(rows) => match rows.into_iter().next() {
                Some(row) => self.adopt_secret(row),
                None => Err(StoreError::BadAnswer),
            },
        }
    }

    fn adopt_secret(&mut self, row: StoredRow) -> Result<JoinEvent, StoreError> {
        let text = row.value.and_then(|v| String::from_utf8(v.to_vec()).ok());
        let Some(secret) = text.filter(|s| !s.is_empty()) else {
            log::warn!("the fleet secret in the store is unreadable");
            return Err(StoreError::BadAnswer);
        };
        self.secret = Some(secret);
        Ok(JoinEvent::Secret(true))
    }

    async fn read_members(&mut self) -> Result<JoinEvent, StoreError> {
        let JoinParts {
            store, host, row, ..
        } = *self.parts;
        let read = read_part(store, MEMBERS_TABLE, &row.data_centre).await?;
        let own = read.rows.iter().find(|r| r.key == *host);
        let value = own.and_then(|r| r.value.as_ref());
        let listed = value.and_then(|v| serde_json::from_slice::<MemberRow>(v).ok());
        self.members = read.rows;
        Ok(JoinEvent::Members(listed.as_ref() == Some(row)))
    }

    async fn register(&mut self) -> Result<JoinEvent, StoreError> {
        let JoinParts { host, row, .. } = *self.parts;
        let put = RowPut::json(MEMBERS_TABLE, &row.data_centre, host, None, row)?;
        match self.parts.store.write(&[put]).await? {
            WriteOutcome::Committed { .. } => Ok(JoinEvent::Registered),
            WriteOutcome::Conflict(_) => Err(StoreError::BadAnswer),
        }
    }
}

fn new_secret() -> Result<String, StoreError> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).map_err(|_| StoreError::Refused)?;
    Ok(format!("{:032x}", u128::from_le_bytes(bytes)))
}
