//! Reading lists and keys from the table service.

use crate::{
    catalog::{Catalog, Edit},
    store::{RowKey, StoreError, Table},
};

use super::rows::{
    decode_change, decode_member, edit_key, head_key, Head, ACCESS, KEYS, MEMBERS, PLANS,
};

/// Rows per scan.
const SCAN_ROWS: usize = 1000;
/// Edits per read.
const EDIT_ROWS: u64 = 100;

/// The head row with its version, 0 if it is absent.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeadRow {
    pub(super) head: Head,
    pub(super) version: u64,
}

/// Reads the newest revision; 0 before the first edit.
pub(super) async fn read_head(table: &dyn Table) -> Result<u64, StoreError> {
    Ok(read_head_row(table).await?.head.revision)
}

/// Reads the head row; revision 0 before the first edit.
pub(super) async fn read_head_row(table: &dyn Table) -> Result<HeadRow, StoreError> {
    let rows = table.read(&[head_key()]).await?;
    let Some(row) = rows.into_iter().next().flatten() else {
        return Ok(HeadRow {
            head: Head::default(),
            version: 0,
        });
    };
    let head = serde_json::from_value(row.value).map_err(|_| StoreError::BadAnswer)?;
    Ok(HeadRow {
        head,
        version: row.version,
    })
}

/// Reads up to 100 edits after `from` and up to `to`, in order and without gaps.
pub(super) async fn read_edits(
    table: &dyn Table,
    from: u64,
    to: u64,
) -> Result<Vec<Edit>, StoreError> {
    let last = to.min(from + EDIT_ROWS);
    let keys: Vec<RowKey> = (from + 1..=last).map(edit_key).collect();
    let rows = table.read(&keys).await?;
    let mut edits = Vec::with_capacity(rows.len());
    for row in rows {
        let Some(row) = row else { break };
        let edit = serde_json::from_value(row.value).map_err(|_| StoreError::BadAnswer)?;
        edits.push(edit);
    }
    Ok(edits)
}

/// Reads the whole catalog from the table service.
///
/// The scans may return rows of later edits. Since changes set whole rows, applying all edits after
/// the revision read before the scans yields the exact state of the newest revision.
pub(super) async fn load_catalog(table: &dyn Table) -> Result<Catalog, StoreError> {
    let mut catalog = Catalog::default();
    let base = read_head_row(table).await?.head;
    for name in [PLANS, ACCESS, KEYS, MEMBERS] {
        load_table(table, name, &mut catalog).await?;
    }
    catalog.advance_to(base.revision);
    catalog.restore_lists_revision(base.lists_revision);
    let head = read_head(table).await?;
    while catalog.revision() < head {
        let edits = read_edits(table, catalog.revision(), head).await?;
        if edits.is_empty() {
            return Err(StoreError::BadAnswer);
        }
        for edit in &edits {
            catalog.apply(edit);
        }
    }
    Ok(catalog)
}

async fn load_table(
    table: &dyn Table,
    name: &'static str,
    catalog: &mut Catalog,
) -> Result<(), StoreError> {
    let mut after = String::new();
    loop {
        let rows = table.scan(name, &after, SCAN_ROWS).await?;
        let Some(last) = rows.last() else {
            return Ok(());
        };
        after = last.key.clone();
        for row in rows {
            if name == MEMBERS {
                let row = decode_member(row).ok_or(StoreError::BadAnswer)?;
                catalog.restore_member(&row.member, row.phase, row.changed_at);
                continue;
            }
            match decode_change(name, row) {
                Some(change) => catalog.apply_change(&change),
                None => log::error!("malformed row in table {name}"),
            }
        }
    }
}
