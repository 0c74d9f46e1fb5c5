//! One HTTP exchange on a connection of its own.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use monoio::{io::Splitable, net::TcpStream, time::timeout};

use super::{
    dead_peer, encode_request_head, response_body_kind, BodyDecoder, Framing, HeadLimits,
    HttpError, HttpReader, HttpWriter,
};

/// Most bytes of a response head from a process of the platform or the fleet.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Longest time to open a connection, below the second after which a lost opening packet is sent
/// again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One request with a whole body.
#[derive(Debug)]
pub struct CallRequest<'a> {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers besides the framing ones.
    pub headers: &'a [(&'a str, &'a str)],
    /// Whole body.
    pub body: Bytes,
    /// Longest time for the whole exchange.
    pub timeout: Duration,
    /// Most bytes of the response body.
    pub max_response_bytes: usize,
}

/// One response with its whole body.
#[derive(Debug)]
pub struct CallResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Bytes sent and received, heads included.
    pub bytes_transferred: u64,
}

/// Sends one request on a new connection and reads the whole response.
///
/// # Errors
///
/// Returns an error when the exchange fails or does not end in time.
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
    dead_peer::fail_when_unreachable(&stream)?;
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
        .map_err(|_| HttpError::Malformed("request of our own"))?;
    Ok(req.into_parts().0)
}
