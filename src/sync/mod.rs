//! Keeping the catalog at the newest revision, and committing edits.

mod catalog_view;
mod commit;
mod edit_answer;
mod load;
mod rows;
mod task;

pub use catalog_view::CatalogView;
pub use edit_answer::{EditAnswer, EditRequest};
pub use task::{sync_task, SyncMessage, SyncTask};
