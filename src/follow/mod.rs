//! Following the tables of the store that a daemon decides by.

mod configuration_sink;
mod join;
mod member_sink;
mod member_table;
mod peer_proof;
mod readers;
mod store_contact;
mod table_follower;
mod target_list;
mod target_sink;

pub use configuration_sink::ConfigurationSink;
pub use join::{join_fleet, JoinParts};
pub use member_sink::MemberSink;
pub use member_table::{MemberRow, MEMBERS_TABLE};
pub use peer_proof::{PeerProofs, ProofAnswer, ProofHandler, ProofRequest};
pub use readers::Readers;
pub use store_contact::StoreContact;
pub use table_follower::{follow_table, FollowOptions, TableSink};
pub use target_list::TargetList;
pub use target_sink::TargetSink;
