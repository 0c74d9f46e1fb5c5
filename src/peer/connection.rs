//! One persistent connection to another daemon.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Method, StatusCode};
use monoio::{io::Splitable, net::TcpStream};

use crate::{
    http::{
        encode_request_head, response_body_kind, BodyDecoder, Framing, HeadLimits, HttpReader,
        HttpWriter,
    },
    metrics::{Counter, Metrics},
};

use super::{
    auth::{Direction, FleetSecrets, Nonce, SignedMessage},
    server::{
        HELLO_PATH, MAC_HEADER, MAX_BODY_BYTES, MESSAGES_PATH, SENDER_HEADER, SEQUENCE_HEADER,
    },
    Envelope, PeerError,
};

/// Limits for a response head.
const HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 4 * 1024,
    timeout: Duration::from_secs(10),
};

/// One persistent connection to another daemon.
///
/// Counts its bytes when dropped, too, so that those of an exchange that timed out are included.
pub(super) struct PeerConnection {
    metrics: Rc<Metrics>,
    counter: Counter,
    reader: HttpReader,
    writer: HttpWriter,
    nonce: Nonce,
    sequence: u64,
    bytes_sent: u64,
    bytes_reported: u64,
}

struct Response {
    body: Bytes,
    mac: Option<String>,
}

impl PeerConnection {
    /// Connects and fetches the nonce of the other side. Adds the connection's bytes to `counter`.
    pub(super) async fn open(
        address: SocketAddr,
        metrics: Rc<Metrics>,
        counter: Counter,
    ) -> Result<Self, PeerError> {
        let stream = TcpStream::connect_addr(address)
            .await
            .map_err(|_| PeerError::NoAnswer)?;
        let _ = stream.set_nodelay(true);
        let (r, w) = stream.into_split();
        let mut conn = Self {
            metrics,
            counter,
            reader: HttpReader::new(r),
            writer: HttpWriter::new(w),
            nonce: Nonce([0; 16]),
            sequence: 0,
            bytes_sent: 0,
            bytes_reported: 0,
        };
        let res = conn.exchange(HELLO_PATH, &[], Bytes::new()).await?;
        conn.nonce = rmp_serde::from_slice(&res.body).map_err(|_| PeerError::BadAnswer)?;
        Ok(conn)
    }

    /// Sends a batch of messages and returns the replies in the same order.
    pub(super) async fn send(
        &mut self,
        secrets: &FleetSecrets,
        own_host: &str,
        batch: &[Envelope],
    ) -> Result<Vec<Envelope>, PeerError> {
        self.sequence += 1;
        let body = rmp_serde::to_vec(batch).map_err(|_| PeerError::Refused)?;
        let signed = |direction, body| SignedMessage {
            direction,
            from: own_host,
            nonce: self.nonce,
            sequence: self.sequence,
            body,
        };
        let mac = secrets.sign(&signed(Direction::Request, &body));
        let sequence = self.sequence.to_string();
        let headers = [
            (SENDER_HEADER, own_host),
            (SEQUENCE_HEADER, &sequence),
            (MAC_HEADER, &mac),
        ];
        let nonce = self.nonce;
        let sequence = self.sequence;
        let res = self
            .exchange(MESSAGES_PATH, &headers, Bytes::from(body))
            .await?;
        let signed = SignedMessage {
            direction: Direction::Response,
            from: own_host,
            nonce,
            sequence,
            body: &res.body,
        };
        let mac = res.mac.ok_or(PeerError::BadAnswer)?;
        if !secrets.verify(&signed, &mac) {
            return Err(PeerError::BadAnswer);
        }
        let replies: Vec<Envelope> =
            rmp_serde::from_slice(&res.body).map_err(|_| PeerError::BadAnswer)?;
        if replies.len() != batch.len() {
            return Err(PeerError::BadAnswer);
        }
        Ok(replies)
    }

    /// Counts the bytes sent and received since the last call.
    pub(super) fn count_bytes(&mut self) {
        let total = self.bytes_sent + self.reader.bytes_received();
        self.metrics.add(self.counter, total - self.bytes_reported);
        self.bytes_reported = total;
    }

    async fn exchange(
        &mut self,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response, PeerError> {
        let mut builder = http::Request::builder().method(Method::POST).uri(path);
        builder = builder.header("host", "peer");
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let req = builder.body(()).map_err(|_| PeerError::Refused)?;
        let (head, ()) = req.into_parts();
        let mut buf = BytesMut::new();
        encode_request_head(&head, Framing::Length(body.len() as u64), &mut buf);
        buf.extend_from_slice(&body);
        self.bytes_sent += buf.len() as u64;
        let res = self.writer.write(buf.freeze()).await;
        res.map_err(|_| PeerError::NoAnswer)?;

        let head = self.reader.read_response_head(&HEAD_LIMITS).await;
        let head = head.map_err(|_| PeerError::NoAnswer)?;
        let kind = response_body_kind(&Method::POST, &head).map_err(|_| PeerError::BadAnswer)?;
        let body = self
            .reader
            .read_body(BodyDecoder::new(kind), MAX_BODY_BYTES)
            .await;
        let body = body.map_err(|_| PeerError::NoAnswer)?;
        if head.status != StatusCode::OK {
            return Err(PeerError::Refused);
        }
        let mac = head.headers.get(MAC_HEADER).and_then(|v| v.to_str().ok());
        Ok(Response {
            body,
            mac: mac.map(str::to_owned),
        })
    }
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.count_bytes();
    }
}
