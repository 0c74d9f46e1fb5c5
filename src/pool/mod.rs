//! Connections to targets, one request at a time on each.

mod connection;
mod idle;
mod task;

pub use connection::TargetConnection;
pub use idle::{IdleConnections, MAX_IDLE, MAX_RECENT_IDLE};
pub use task::{pool_task, PoolHandle, PoolMessage};
