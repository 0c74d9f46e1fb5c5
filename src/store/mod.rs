//! The services that keep what must last: a table, objects and the list of hosts.

mod error;
mod host_list;
mod object_store;
mod row_store;
mod table;

pub use error::StoreError;
pub use host_list::{HostList, ListedHost};
pub use object_store::ObjectStore;
pub use row_store::{FeedResponse, RowPage, RowPut, RowStore, StoredRow, WriteOutcome};
pub use table::{
    BoxFuture, Row, RowCheck, RowKey, RowWrite, ScannedRow, Table, TransactOutcome, Transaction,
};
