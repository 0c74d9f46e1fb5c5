//! HTTP/1.1 over `monoio`, with limits and framing checks around `monoio-http`.

mod accept;
mod body_decoder;
mod body_kind;
mod client;
mod encode;
mod error;
mod forbidden;
mod framing;
mod head_limits;
mod keepalive;
mod reader;
mod work_budget;
mod writer;

pub use accept::{accept_task, ConnectionHandler};
pub use body_decoder::BodyDecoder;
pub use body_kind::BodyKind;
pub use client::{call, CallRequest, CallResponse, TransferLimits};
pub use encode::{encode_request_head, encode_response_head, Framing};
pub use error::HttpError;
pub use forbidden::ForbiddenBytes;
pub use framing::{request_body_kind, response_body_kind};
pub use head_limits::HeadLimits;
pub use reader::HttpReader;
pub use work_budget::WorkBudget;
pub use writer::HttpWriter;
