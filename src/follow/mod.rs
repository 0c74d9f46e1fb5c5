//! Following the tables of the store that a daemon decides by.

mod configuration_sink;
mod followed_table;
mod join;
mod member_sink;
mod member_table;
mod proof_handler;
mod proof_message;
mod reader_role;
mod reader_selector;
mod reader_task;
mod store_connectivity;
mod table_delta;
mod table_follower;
mod target_list;
mod target_sink;

pub use configuration_sink::ConfigurationSink;
pub use followed_table::FollowedTable;
pub use join::{join_fleet, JoinParts};
pub use member_sink::MemberSink;
pub use member_table::{MemberRow, MEMBERS_TABLE};
pub use proof_handler::{ProofHandler, SharedTables};
pub use proof_message::{ProofRequest, ProofResponse};
pub use reader_role::{ReaderRole, SharedReaderRole};
pub use reader_selector::ReaderSelector;
pub use reader_task::{ReaderParts, ReaderTask};
pub use store_connectivity::StoreConnectivity;
pub use table_delta::{RowChange, TableDelta};
pub use table_follower::{follow_table, FollowOptions, FollowParts, ResponseTiming, TableSink};
pub use target_list::TargetList;
pub use target_sink::TargetSink;
