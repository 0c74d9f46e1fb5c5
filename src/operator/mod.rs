//! The operator port: edits, keys, status and the balancer's check.

mod key_material;
mod server;
mod status;

pub use server::{operator_server_task, OperatorContext};
pub use status::{GiveKeyResponse, MemberStatus, Status};
