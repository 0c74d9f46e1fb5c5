//! Simulated platforms and targets, and test fleets of real daemons.
//!
//! Used by tests, examples and benchmarks only; not part of the product.

mod child_process;
mod client;
mod cluster;
mod daemon;
mod entry_fleet;
mod entry_target;
mod http;
mod link;
mod platform;
mod process_role;
mod row_store;
mod row_transaction;
mod script;
mod target;

pub use client::{Client, Reply};
pub use cluster::{free_address, Cluster, ClusterOptions};
pub use daemon::{DaemonCommand, DaemonProcess};
pub use entry_fleet::{configuration, EntryDaemon, EntryFleet};
pub use entry_target::{EntryRun, EntryTarget, TargetBehaviour};
pub use link::{Link, LinkFaults};
pub use platform::{HostRow, Platform, PlatformFaults, PlatformStats};
pub use process_role::run_role;
pub use row_store::{RowStore, RowStoreCopy, RowStoreFaults};
pub use script::{Script, ScriptEnd};
pub use target::{Target, TargetFaults, TargetOptions, WorkRecord};
