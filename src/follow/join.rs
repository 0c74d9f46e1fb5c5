//! Registration of a daemon in the fleet through the store.

use std::time::Duration;

use bytes::Bytes;
use monoio::time::sleep;

use crate::store::{RowPut, RowStore, StoreError, WriteOutcome};

use super::MemberRow;

/// Table of values shared by the whole fleet.
const FLEET_TABLE: &str = "fleet";
/// Key of the secret with which daemons authenticate to each other.
const SECRET_KEY: &str = "secret";
/// Longest backoff after a failed call; it is jittered so that the daemons of a fleet do not retry
/// at the same time.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Dependencies of [`join_fleet`].
pub struct JoinParts<'a> {
    /// The store.
    pub store: &'a dyn RowStore,
    /// Name of this host.
    pub host: &'a str,
    /// The row from which other daemons discover this one.
    pub row: &'a MemberRow,
}

/// Registers this daemon and returns the secret of the fleet, which the first daemon generates.
/// Retries until the store responds.
pub async fn join_fleet(parts: &JoinParts<'_>) -> String {
    loop {
        match try_join(parts).await {
            Ok(Some(secret)) => return secret,
            Ok(None) => {}
            Err(e) => {
                let reason = e.to_string();
                log::warn!(reason = reason.as_str(); "joining the fleet failed, retrying");
            }
        }
        sleep(MAX_BACKOFF.mul_f64(0.25 + 0.75 * fastrand::f64())).await;
    }
}

/// Makes one attempt, which writes a new secret unless one is stored; returns `None` if the stored
/// secret is unreadable.
async fn try_join(parts: &JoinParts<'_>) -> Result<Option<String>, StoreError> {
    let member = RowPut::json(super::MEMBERS_TABLE, parts.host, None, parts.row)?;
    let secret = new_secret()?;
    let put = RowPut {
        table: FLEET_TABLE,
        key: SECRET_KEY.to_owned(),
        expected: Some(0),
        value: Bytes::from(secret.clone()),
    };
    let rows = match parts.store.write(&[put, member.clone()]).await? {
        WriteOutcome::Committed { .. } => return Ok(Some(secret)),
        WriteOutcome::Conflict(rows) => rows,
    };
    let stored = rows.into_iter().find_map(|row| row.value);
    let Some(stored) = stored.and_then(|v| String::from_utf8(v.to_vec()).ok()) else {
        log::warn!("the fleet secret in the store is unreadable");
        return Ok(None);
    };
    parts.store.write(&[member]).await?;
    Ok(Some(stored))
}

fn new_secret() -> Result<String, StoreError> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).map_err(|_| StoreError::Refused)?;
    Ok(format!("{:032x}", u128::from_le_bytes(bytes)))
}
