//! Replication of the store's tables to the daemons, directly or through other daemons.

mod change_fetcher;
mod change_message;
mod changes_handler;
mod configuration_sink;
mod delta_codec;
mod delta_encoder;
mod era_guard;
mod evacuation_list;
mod evacuation_sink;
mod followed_table;
mod join;
mod join_plan;
mod leaving_readers;
mod lost_rows;
mod member_sink;
mod member_table;
mod proof_handler;
mod proof_message;
mod reader_role;
mod reader_selector;
mod reader_task;
mod shared_tables;
mod sink_sequence;
mod store_connectivity;
mod table_copy;
mod table_delta;
mod table_follower;
mod target_list;
mod target_sink;
mod warmup_sink;

pub use change_message::{ChangesRequest, ChangesResponse, EncodedDelta, HeldCopy, RowVersion};
pub use changes_handler::ChangesHandler;
pub use configuration_sink::ConfigurationSink;
pub use delta_codec::{decode_delta, encode_delta};
pub use evacuation_list::{EvacuationChange, EvacuationList};
pub use evacuation_sink::{EvacuationFormat, EvacuationSink};
pub use followed_table::FollowedTable;
pub use join::{join_fleet, JoinParts, JoinedFleet};
pub use join_plan::{JoinEvent, JoinPlan, JoinStep};
pub use leaving_readers::LeavingReaders;
pub use lost_rows::{
    lost_member_version, secret_action, LostRowsParts, LostRowsTask, SecretAction,
};
pub use member_sink::MemberSink;
pub use member_table::{MemberRow, FLEET_TABLE, MEMBERS_TABLE};
pub use proof_handler::ProofHandler;
pub use proof_message::{PendingChanges, ProofRequest, ProofResponse};
pub use reader_role::{ReaderRole, SharedReaderRole};
pub use reader_selector::ReaderSelector;
pub use reader_task::{ReaderParts, ReaderTask};
pub use shared_tables::SharedTables;
pub use sink_sequence::SinkSequence;
pub use store_connectivity::StoreConnectivity;
pub use table_delta::{EraStart, RowChange, TableDelta};
pub use table_follower::{
    follow_table, EraRows, FollowOptions, FollowParts, ResponseTiming, TableSink,
};
pub use target_list::TargetList;
pub use target_sink::TargetSink;
pub use warmup_sink::WarmupSink;
