//! The operator port: edits, keys, status and the readiness check.

mod key_generation;
mod server;
mod status;

pub use server::{operator_server_task, OperatorContext};
pub use status::{GiveKeyResponse, MemberStatus, Status};
