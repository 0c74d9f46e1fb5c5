//! The task that removes expired claims.

use std::{rc::Rc, time::Duration};

use crate::{
    peer::PeerDirectory,
    store::{RowCheck, RowWrite, ScannedRow, StoreError, Table, Transaction},
};

use super::{
    store::{unix_now_s, CLAIMS_TABLE},
    ClaimRow,
};

/// Retention time of a claim, s.
const RETENTION_S: u64 = 24 * 3600;
/// Mean time between two sweeps by any host of the fleet, unless [`MIN_INTERVAL`] makes it longer.
const FLEET_INTERVAL: Duration = Duration::from_secs(4);
/// Minimum mean time between two sweeps of one host.
const MIN_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of claims that one sweep removes, in one transaction.
const MAX_REMOVED: usize = 200;

/// Removes claims past their retention time; each sweep reads one page that starts at a random key.
pub async fn claim_sweep_task(table: Rc<dyn Table>, directory: PeerDirectory) {
    loop {
        let hosts = directory.peers().len() as u32 + 1;
        let interval = (FLEET_INTERVAL * hosts).max(MIN_INTERVAL);
        monoio::time::sleep(interval.mul_f64(0.5 + fastrand::f64())).await;
        if let Err(e) = sweep(table.as_ref()).await {
            log::warn!("cannot remove expired claims: {e}");
        }
    }
}

async fn sweep(table: &dyn Table) -> Result<(), StoreError> {
    let after = format!("{:08x}", fastrand::u32(..));
    let rows = table.scan(CLAIMS_TABLE, &after, MAX_REMOVED).await?;
    let now_s = unix_now_s();
    let expired: Vec<&ScannedRow> = rows.iter().filter(|row| is_expired(row, now_s)).collect();
    if expired.is_empty() {
        return Ok(());
    }
    let tx = Transaction {
        checks: expired.iter().map(|row| version_check(row)).collect(),
        writes: expired.iter().map(|row| removal(row)).collect(),
    };
    table.transact(&tx).await.map(|_| ())
}

fn is_expired(row: &ScannedRow, now_s: u64) -> bool {
    let claim: Result<ClaimRow, _> = serde_json::from_value(row.value.clone());
    claim.is_ok_and(|claim| now_s.saturating_sub(claim.created_s) > RETENTION_S)
}

fn version_check(row: &ScannedRow) -> RowCheck {
    RowCheck {
        table: CLAIMS_TABLE,
        key: row.key.clone(),
        version: row.version,
    }
}

fn removal(row: &ScannedRow) -> RowWrite {
    RowWrite {
        table: CLAIMS_TABLE,
        key: row.key.clone(),
        value: None,
    }
}
