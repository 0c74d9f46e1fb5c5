//! Joining the fleet through the store.

use std::time::Duration;

use bytes::Bytes;
use monoio::time::sleep;

use crate::store::{RowPut, RowStore, StoreError, WriteOutcome};

use super::MemberRow;

/// Table of what the fleet shares.
const FLEET_TABLE: &str = "fleet";
/// Key of the secret that daemons prove to each other.
const SECRET_KEY: &str = "secret";
/// Longest pause behind a call that failed, so that a fleet does not call together.
const MAX_RETRY: Duration = Duration::from_millis(800);

/// What joining needs.
pub struct JoinParts<'a> {
    /// The store.
    pub store: &'a dyn RowStore,
    /// Name of this host.
    pub host: &'a str,
    /// The row by which other daemons find this one.
    pub row: &'a MemberRow,
}

/// Registers this daemon, and returns the secret of the fleet; the first daemon of a fleet makes
/// it. Calls the store until it answers.
pub async fn join_fleet(parts: &JoinParts<'_>) -> String {
    loop {
        match try_join(parts).await {
            Ok(Some(secret)) => return secret,
            Ok(None) => {}
            Err(e) => {
                let reason = e.to_string();
                log::warn!(reason = reason.as_str(); "fleet not joined yet");
            }
        }
        sleep(MAX_RETRY.mul_f64(0.25 + 0.75 * fastrand::f64())).await;
    }
}

/// Tries once, as the first daemon of a fleet would; none when the secret that stands there cannot
/// be read.
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
    let known = rows.into_iter().find_map(|row| row.value);
    let Some(known) = known.and_then(|v| String::from_utf8(v.to_vec()).ok()) else {
        log::warn!("the secret of the fleet in the store cannot be read");
        return Ok(None);
    };
    parts.store.write(&[member]).await?;
    Ok(Some(known))
}

fn new_secret() -> Result<String, StoreError> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).map_err(|_| StoreError::Refused)?;
    Ok(format!("{:032x}", u128::from_le_bytes(bytes)))
}
