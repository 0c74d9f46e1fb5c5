//! The path of a request from its caller to a target and back.

mod access_log;
mod admit;
mod attempt;
mod caller;
mod claimed;
mod context;
mod crash;
mod deadline;
mod dispatch;
mod headers;
mod listener;
mod relay;
mod request_body;
mod request_id;
mod serve;
mod service_states;

pub use context::{ProxyContext, ProxyParts};
pub(crate) use headers::target_state;
pub use listener::listen_task;
