//! The path of a request from its caller to a target and back.

mod access_log;
mod access_policy;
mod admit;
mod attempt;
mod caller;
mod claimed;
mod context;
mod crash;
mod deadline;
mod dispatch;
mod head_format;
mod headers;
mod idempotency;
mod judge;
mod listener;
mod relay;
mod request_body;
mod request_form;
mod request_id;
mod serve;
mod service_states;
mod standing;

pub use access_policy::{AccessPolicy, Allowed, Basis, CallerLimits, Identity};
pub use context::{ProxyContext, ProxyParts};
pub use head_format::{HeadFormat, ResponseClass, Sender, TargetReport};
pub(crate) use headers::{credentials, exposes_key, is_header_text, strip_hop_by_hop, valid_value};
pub use listener::listen_task;
pub(crate) use request_form::{check_form, check_path};
