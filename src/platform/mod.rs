//! The platform's services as seen by a daemon.

mod error;
mod host_list;
mod http_platform;
mod object_store;
mod table;

pub use error::PlatformError;
pub use host_list::{HostList, ListedHost};
pub use http_platform::HttpPlatform;
pub use object_store::ObjectStore;
pub use table::{
    BoxFuture, Committed, Row, RowCheck, RowKey, RowWrite, ScannedRow, Table, Transaction,
};
