//! Replication of the catalog at the newest revision, and the commit of edits.

mod catalog_view;
mod commit;
mod edit_log;
mod edit_message;
mod heartbeat_task;
mod load;
mod members_task;
mod messages;
mod peer_handlers;
mod replica;
mod rows;
mod snapshot;
mod snapshot_cache;
mod snapshot_task;
mod spread;
mod task;

pub use catalog_view::CatalogView;
pub use edit_message::{EditAnswer, EditRequest};
pub use peer_handlers::{HeartbeatHandler, RevisionHandler};
pub use replica::{Replica, ReplicaParts};
pub use task::{sync_task, SyncMessage};
