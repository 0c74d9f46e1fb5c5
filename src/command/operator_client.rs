//! HTTP calls to a daemon's operator port.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use monoio::{LegacyDriver, RuntimeBuilder};
use serde_json::Value;

use crate::{
    exit_code::ExitCode,
    http::{call, CallRequest},
};

/// Timeout for one call, long enough for a daemon to resolve an edit whose response was lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 30;
/// Environment variable with the operator token.
const TOKEN_VARIABLE: &str = "CHERVILLUG_TOKEN";

/// Answer of a daemon.
pub(super) struct OperatorResponse {
    pub(super) status: StatusCode,
    pub(super) body: Value,
}

/// Sends a request to a daemon's operator port.
pub(super) fn call_daemon(
    daemon: SocketAddr,
    token: Option<&str>,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Result<OperatorResponse, ExitCode> {
    let token = token
        .map(str::to_owned)
        .or_else(|| std::env::var(TOKEN_VARIABLE).ok());
    let Some(token) = token else {
        eprintln!("no operator token: set {TOKEN_VARIABLE} or pass --token");
        return Err(ExitCode::Usage);
    };
    let bearer = format!("Bearer {token}");
    let req = CallRequest {
        method,
        path,
        headers: &[("authorization", &bearer)],
        body: body.map_or_else(Bytes::new, |b| Bytes::from(b.to_string())),
        timeout: CALL_TIMEOUT,
        transfer: None,
        max_response_bytes: MAX_RESPONSE_BYTES,
    };
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = runtime.map_err(|e| {
        eprintln!("cannot create the runtime: {e}");
        ExitCode::Failure
    })?;
    let res = runtime.block_on(call(daemon, &req)).map_err(|e| {
        eprintln!("daemon {daemon}: {e}; an edit may or may not have been accepted");
        ExitCode::Unknown
    })?;
    let body = serde_json::from_slice(&res.body).unwrap_or(Value::Null);
    Ok(OperatorResponse {
        status: res.status,
        body,
    })
}
