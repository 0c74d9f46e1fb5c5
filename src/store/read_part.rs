//! Reads of whole parts of a table.

use std::time::Duration;

use super::{RowStore, StoreError, StoreVersion, StoredRow};

/// The rows of one part, read page by page.
pub struct PartRows {
    /// The rows in key order.
    pub rows: Vec<StoredRow>,
    /// Version of the store at the first page, from which changes must be followed.
    pub version: StoreVersion,
    /// The store's steady clock at the first page.
    pub store_time: Duration,
}

/// Reads all rows of a part of a table.
///
/// # Errors
///
/// Returns the error of the first call that fails, and [`StoreError::BadAnswer`] if the pages are not of
/// one era.
pub async fn read_part(
    store: &dyn RowStore,
    table: &str,
    part: &str,
) -> Result<PartRows, StoreError> {
    let first = store.read(table, part, "").await?;
    let mut truncated = first.truncated;
    let mut all = PartRows {
        rows: first.rows,
        version: first.version,
        store_time: first.store_time,
    };
    while let (true, Some(last)) = (truncated, all.rows.last()) {
        // The smallest key after the last one read.
        let from = format!("{}\0", last.key);
        let page = store.read(table, part, &from).await?;
        if page.version.era != all.version.era {
            log::info!(table = table, era:% = page.version.era; "the era of the store changed during a read");
            return Err(StoreError::BadAnswer);
        }
        // Rows may have been removed meanwhile, so that none is left.
        let is_behind = page.rows.first().is_some_and(|row| row.key < from);
        if is_behind || (page.rows.is_empty() && page.truncated) {
            log::warn!(table = table, from:? = from; "the store returned no further rows of a part");
            return Err(StoreError::BadAnswer);
        }
        truncated = page.truncated;
        all.rows.extend(page.rows);
    }
    Ok(all)
}
