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
mod request_id;
mod request_validation;
mod serve;
mod service_states;
mod standing;

pub use access_policy::{
    AccessPolicy, AuthorizedRequest, CallerIdentity, CallerLimits, DecisionBasis,
};
pub use context::{ProxyContext, ProxyParts};
pub use head_format::{HeadFormat, RequestOrigin, ResponseClass, TargetReport};
pub(crate) use headers::{
    authorization_credentials, exposes_key, header_value_or_empty, is_valid_header_value,
    strip_hop_by_hop,
};
pub use listener::listen_task;
pub(crate) use request_validation::{validate_head, validate_path};
