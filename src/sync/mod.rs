//! Keeping the catalog at the newest revision, and committing edits.

mod catalog_view;
mod commit;
mod contact_task;
mod edit_answer;
mod edit_log;
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
pub use edit_answer::{EditAnswer, EditRequest};
pub use peer_handlers::{HeartbeatHandler, RevisionHandler};
pub use replica::{Replica, ReplicaParts};
pub use task::{sync_task, SyncMessage};
