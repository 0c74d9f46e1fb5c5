//! Calls of the command line to a daemon's operator port.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use monoio::{LegacyDriver, RuntimeBuilder};
use serde_json::Value;

use crate::{
    exit_code::ExitCode,
    http::{call, CallRequest},
};

/// Longest time for one call; an edit whose answer was lost takes a while to resolve.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Most bytes of one answer.
const MAX_ANSWER_BYTES: usize = 1 << 30;
/// Environment variable that holds the operator token.
const TOKEN_VARIABLE: &str = "CHERVILLUG_TOKEN";

/// An answer of a daemon.
pub(super) struct OperatorAnswer {
    pub(super) status: StatusCode,
    pub(super) body: Value,
}

/// Calls a daemon's operator port.
pub(super) fn call_daemon(
    daemon: SocketAddr,
    token: Option<&str>,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Result<OperatorAnswer, ExitCode> {
    let token = token
        .map(str::to_owned)
        .or_else(|| std::env::var(TOKEN_VARIABLE).ok());
    let Some(token) = token else {
        eprintln!("no operator token: set {TOKEN_VARIABLE} or give --token");
        return Err(ExitCode::Usage);
    };
    let bearer = format!("Bearer {token}");
    let req = CallRequest {
        method,
        path,
        headers: &[("authorization", &bearer)],
        body: body.map_or_else(Bytes::new, |b| Bytes::from(b.to_string())),
        timeout: CALL_TIMEOUT,
        max_response_bytes: MAX_ANSWER_BYTES,
    };
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = runtime.map_err(|e| {
        eprintln!("cannot start: {e}");
        ExitCode::Failure
    })?;
    let res = runtime.block_on(call(daemon, &req)).map_err(|e| {
        eprintln!("daemon {daemon}: {e}; an edit may or may not have been accepted");
        ExitCode::Unknown
    })?;
    let body = serde_json::from_slice(&res.body).unwrap_or(Value::Null);
    Ok(OperatorAnswer {
        status: res.status,
        body,
    })
}
