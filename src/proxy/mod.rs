//! Request proxying between callers and targets.

mod access_log;
mod access_policy;
mod admit;
mod admitted_request;
mod attempt_result;
mod caller;
mod claimed_dispatch;
mod context;
mod crash_detection;
mod deadline;
mod dispatch;
mod exchange;
mod head_format;
mod headers;
mod hedge_race;
mod hedging_states;
mod idempotency;
mod listener;
mod pick_target;
mod relay;
mod request_body;
mod request_handler;
mod request_id;
mod request_validation;
mod retry_states;

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
pub use retry_states::RetryBudgetSource;
