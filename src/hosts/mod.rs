//! Polling of the platform's list of hosts.

mod task;

pub use task::host_list_task;
