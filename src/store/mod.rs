//! The services that keep what must last: a table, objects and the list of hosts.

mod error;
mod host_list;
mod object_store;
mod row_store;
mod table;

pub use error::StoreError;
pub use host_list::{HostList, ListedHost};
pub use object_store::ObjectStore;
pub use row_store::{FeedRead, RowPut, RowStore, RowsRead, StoredRow, Written};
pub use table::{
    BoxFuture, Committed, Row, RowCheck, RowKey, RowWrite, ScannedRow, Table, Transaction,
};
