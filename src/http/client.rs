//! One HTTP exchange on a new connection.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{response, HeaderMap, Method, StatusCode};
use monoio::{io::Splitable, net::TcpStream, time::timeout};

use super::{
    encode_request_head, keepalive, response_body_kind, BodyDecoder, Framing, HeadLimits,
    HttpError, HttpReader, HttpWriter,
};

/// Maximum size of a response head from the platform, a target or a daemon, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Timeout for opening a connection, below the 1 s after which the kernel retransmits a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits on the time in which a large response body arrives over a narrow link.
#[derive(Debug, Clone, Copy)]
pub struct TransferLimits {
    /// Longest time without a further byte.
    pub stall: Duration,
    /// Longest time of the whole body.
    pub total: Duration,
}

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
    /// Timeout for the whole exchange, or up to the response head if `transfer` is given.
    pub timeout: Duration,
    /// Limits on the time that the response body takes; `None` if `timeout` covers the body, too.
    pub transfer: Option<TransferLimits>,
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
    let Some(limits) = req.transfer else {
        return within(req.timeout, async {
            let head = exchange_heads(address, req).await?;
            read_rest(head, req, None).await
        })
        .await;
    };
    let head = within(req.timeout, exchange_heads(address, req)).await?;
    within(limits.total, read_rest(head, req, Some(limits.stall))).await
}

async fn within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    timeout(limit, work)
        .await
        .unwrap_or(Err(HttpError::Timeout))
}

/// A response of which the head was read.
struct StartedResponse {
    head: response::Parts,
    reader: HttpReader,
    /// Kept open until the body is read.
    _writer: HttpWriter,
    bytes_sent: u64,
}

async fn exchange_heads(
    address: SocketAddr,
    req: &CallRequest<'_>,
) -> Result<StartedResponse, HttpError> {
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
    Ok(StartedResponse {
        head,
        reader,
        _writer: writer,
        bytes_sent: sent,
    })
}

async fn read_rest(
    started: StartedResponse,
    req: &CallRequest<'_>,
    stall: Option<Duration>,
) -> Result<CallResponse, HttpError> {
    let StartedResponse {
        head,
        mut reader,
        _writer,
        bytes_sent,
    } = started;
    let kind = response_body_kind(&req.method, &head)?;
    let mut body = BodyDecoder::new(kind);
    let body = reader
        .read_body_within(&mut body, req.max_response_bytes, stall)
        .await?;
    Ok(CallResponse {
        status: head.status,
        headers: head.headers,
        body,
        bytes_transferred: bytes_sent + reader.bytes_received(),
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
