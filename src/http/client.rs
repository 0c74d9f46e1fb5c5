//! One HTTP exchange on a new connection.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use monoio::{io::Splitable, net::TcpStream, time::timeout};

use super::{
    encode_request_head, keepalive, response_body_kind, BodyDecoder, Framing, HeadLimits,
    HttpError, HttpReader, HttpWriter,
};

/// Maximum size of a response head from the platform, a target or a daemon, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Timeout for opening a connection, below the 1 s after which the kernel retransmits a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One request with its complete body.
#[derive(Debug)]
pub struct CallRequest<'a> {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers other than those for framing.
    pub headers: &'a [(&'a str, &'a str)],
    /// Complete body.
    pub body: Bytes,
    /// Timeout for the whole exchange.
    pub timeout: Duration,
    /// Maximum size of the response body in bytes.
    pub max_response_bytes: usize,
}

/// One response with its complete body.
#[derive(Debug)]
pub struct CallResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Bytes sent and received, including heads.
    pub bytes_transferred: u64,
}

/// Sends one request on a new connection and reads the complete response.
///
/// # Errors
///
/// Returns an error if the exchange fails or does not complete before the timeout.
pub async fn call(address: SocketAddr, req: &CallRequest<'_>) -> Result<CallResponse, HttpError> {
    match timeout(req.timeout, exchange(address, req)).await {
        Ok(res) => res,
        Err(_) => Err(HttpError::Timeout),
    }
}

async fn exchange(address: SocketAddr, req: &CallRequest<'_>) -> Result<CallResponse, HttpError> {
    let limit = CONNECT_TIMEOUT.min(req.timeout);
    let stream = match timeout(limit, TcpStream::connect_addr(address)).await {
        Ok(connected) => connected?,
        Err(_) => return Err(HttpError::Timeout),
    };
    let _ = stream.set_nodelay(true);
    keepalive::enable(&stream)?;
    let (r, w) = stream.into_split();
    let mut reader = HttpReader::new(r);
    let mut writer = HttpWriter::new(w);

    let head = request_head(address, req)?;
    let mut buf = BytesMut::new();
    encode_request_head(&head, Framing::Length(req.body.len() as u64), &mut buf);
    buf.extend_from_slice(&req.body);
    let sent = buf.len() as u64;
    writer.write(buf.freeze()).await?;

    let limits = HeadLimits {
        max_bytes: MAX_HEAD_BYTES,
        timeout: req.timeout,
    };
    let head = reader.read_response_head(&limits).await?;
    let kind = response_body_kind(&req.method, &head)?;
    let body = reader
        .read_body(BodyDecoder::new(kind), req.max_response_bytes)
        .await?;
    Ok(CallResponse {
        status: head.status,
        headers: head.headers,
        body,
        bytes_transferred: sent + reader.bytes_received(),
    })
}

fn request_head(
    address: SocketAddr,
    req: &CallRequest<'_>,
) -> Result<http::request::Parts, HttpError> {
    let mut builder = http::Request::builder()
        .method(req.method.clone())
        .uri(req.path)
        .header("host", address.to_string())
        .header("connection", "close");
    for (name, value) in req.headers {
        builder = builder.header(*name, *value);
    }
    let req = builder
        .body(())
        .map_err(|_| HttpError::Malformed("invalid request head"))?;
    Ok(req.into_parts().0)
}
