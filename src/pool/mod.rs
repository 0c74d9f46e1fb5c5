//! Connections to targets, one request at a time on each.

mod connection;
mod idle;
mod task;

pub use connection::TargetConnection;
pub use idle::{IdleConnections, MAX_IDLE, RECENT_USE};
pub use task::{pool_task, PoolHandle, PoolMessage};
