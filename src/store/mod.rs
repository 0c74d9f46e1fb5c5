//! Interfaces to the services that hold persistent state: tables, objects and the list of hosts.

mod era;
mod era_tracker;
mod error;
mod host_list;
mod object_store;
mod read_part;
mod row_store;
mod table;

pub use era::{Era, StoreVersion};
pub use era_tracker::{EraCheck, EraFault, EraTracker};
pub use error::StoreError;
pub use host_list::{HostList, ListedHost};
pub use object_store::ObjectStore;
pub use read_part::{read_part, PartRows};
pub use row_store::{FeedResponse, RowPage, RowPut, RowStore, StoredRow, WriteOutcome};
pub use table::{
    BoxFuture, Row, RowCheck, RowKey, RowWrite, ScannedRow, Table, TransactOutcome, Transaction,
};
