//! The server for other daemons.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{request, HeaderMap, HeaderValue, StatusCode};
use monoio::{
    io::Splitable,
    net::{TcpListener, TcpStream},
};

use crate::{
    http::{
        accept_task, encode_response_head, request_body_kind, BodyDecoder, BodyKind,
        ConnectionHandler, Framing, HeadLimits, HttpError, HttpReader, HttpWriter,
    },
    metrics::{Counter, Metrics},
    store::BoxFuture,
};

use super::{
    auth::{Direction, FleetSecrets, Nonce, SignedMessage},
    handler::encode,
    lane::Lane,
    Envelope, PeerRouter,
};

/// Path that returns a nonce for the connection.
pub(super) const HELLO_PATH: &str = "/peer/hello";
/// Path that accepts message batches.
pub(super) const MESSAGES_PATH: &str = "/peer/messages";
/// Header with the name of the sending host.
pub(super) const SENDER_HEADER: &str = "peer-host";
/// Header with the sequence number.
pub(super) const SEQUENCE_HEADER: &str = "peer-sequence";
/// Header with the authentication code.
pub(super) const MAC_HEADER: &str = "peer-mac";
/// Maximum size of one body in bytes.
pub(super) const MAX_BODY_BYTES: usize = 8 << 20;
/// Limits for a request head.
const HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 4 * 1024,
    timeout: Duration::from_secs(10),
};

/// Context of the server for other daemons.
pub struct PeerServer {
    /// The secrets that authenticate senders.
    pub secrets: FleetSecrets,
    /// Dispatches messages to their handlers.
    pub router: PeerRouter,
    /// The counters.
    pub metrics: Rc<Metrics>,
}

/// State of one connection.
struct Session {
    nonce: Option<Nonce>,
    last_sequence: u64,
    /// Counter to which the bytes of the last batch are added.
    counter: Counter,
    /// Bytes of the last response.
    bytes_sent: u64,
}

/// The sender of an authenticated message batch.
struct AuthenticatedSender<'a> {
    from: &'a str,
    nonce: Nonce,
    sequence: u64,
}

/// Accepts connections of other daemons until this daemon exits.
pub async fn peer_server_task(cx: Rc<PeerServer>, listener: TcpListener) {
    accept_task(listener, "peer", cx).await;
}

impl ConnectionHandler for PeerServer {
    fn serve_connection(&self, stream: TcpStream) -> BoxFuture<'_, Result<(), HttpError>> {
        Box::pin(self.serve(stream))
    }
}

impl PeerServer {
    async fn serve(&self, stream: TcpStream) -> Result<(), HttpError> {
        let _ = stream.set_nodelay(true);
        let (r, w) = stream.into_split();
        let mut reader = HttpReader::new(r);
        let mut writer = HttpWriter::new(w);
        let mut bytes_reported = 0;
        let mut session = Session {
            nonce: None,
            last_sequence: 0,
            counter: Counter::PeerControlBytes,
            bytes_sent: 0,
        };
        while reader.wait_for_message().await? {
            let head = reader.read_request_head(&HEAD_LIMITS).await?;
            let kind = request_body_kind(&head)?;
            if matches!(kind, BodyKind::Fixed(n) if n > MAX_BODY_BYTES as u64) {
                self.metrics.count(Counter::PeerOversized);
                return Ok(());
            }
            let body = reader
                .read_body(BodyDecoder::new(kind), MAX_BODY_BYTES)
                .await?;
            if !self.answer(&head, &body, &mut session, &mut writer).await? {
                return Ok(());
            }
            let transferred = reader.bytes_received() - bytes_reported + session.bytes_sent;
            bytes_reported = reader.bytes_received();
            self.metrics.add(session.counter, transferred);
        }
        Ok(())
    }

    /// Answers one request; returns false if the connection must be closed.
    async fn answer(
        &self,
        head: &request::Parts,
        body: &[u8],
        session: &mut Session,
        writer: &mut HttpWriter,
    ) -> Result<bool, HttpError> {
        if head.uri.path() == HELLO_PATH {
            session.nonce = Nonce::random();
            session.last_sequence = 0;
            let Some(body) = session.nonce.and_then(|nonce| encode(&nonce)) else {
                log::error!("peer connection: cannot create a nonce");
                return Ok(false);
            };
            session.bytes_sent = send(writer, StatusCode::OK, body, None).await?;
            return Ok(true);
        }
        let Some(sender) = self.authenticate(&head.headers, body, session) else {
            self.metrics.count(Counter::PeerUnauthenticated);
            send(writer, StatusCode::UNAUTHORIZED, Vec::new(), None).await?;
            return Ok(false);
        };
        let Ok(batch) = rmp_serde::from_slice::<Vec<Envelope>>(body) else {
            self.metrics.count(Counter::PeerUnreadable);
            return Ok(false);
        };
        if let Some(first) = batch.first() {
            session.counter = Lane::for_kind(first.kind).counter();
        }
        let replies = self.handle_all(sender.from, batch).await;
        let Some(body) = encode(&replies) else {
            return Ok(false);
        };
        let mac = self.secrets.sign(&SignedMessage {
            direction: Direction::Response,
            from: sender.from,
            nonce: sender.nonce,
            sequence: sender.sequence,
            body: &body,
        });
        session.bytes_sent = send(writer, StatusCode::OK, body, Some(&mac)).await?;
        Ok(true)
    }

    /// Handles messages concurrently and returns the replies in the order of the messages.
    async fn handle_all(&self, from: &str, batch: Vec<Envelope>) -> Vec<Envelope> {
        if let [msg] = batch.as_slice() {
            return vec![self.router.handle(from, msg).await];
        }
        let from: Rc<str> = Rc::from(from);
        let tasks: Vec<_> = batch
            .into_iter()
            .map(|msg| {
                let router = self.router.clone();
                let from = from.clone();
                monoio::spawn(async move { router.handle(&from, &msg).await })
            })
            .collect();
        let mut replies = Vec::with_capacity(tasks.len());
        for task in tasks {
            replies.push(task.await);
        }
        replies
    }

    fn authenticate<'a>(
        &self,
        headers: &'a HeaderMap,
        body: &[u8],
        session: &mut Session,
    ) -> Option<AuthenticatedSender<'a>> {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        let from = text(SENDER_HEADER)?;
        let sequence: u64 = text(SEQUENCE_HEADER)?.parse().ok()?;
        let nonce = session.nonce?;
        let signed = SignedMessage {
            direction: Direction::Request,
            from,
            nonce,
            sequence,
            body,
        };
        if sequence <= session.last_sequence || !self.secrets.verify(&signed, text(MAC_HEADER)?) {
            return None;
        }
        session.last_sequence = sequence;
        Some(AuthenticatedSender {
            from,
            nonce,
            sequence,
        })
    }
}

async fn send(
    writer: &mut HttpWriter,
    status: StatusCode,
    body: Vec<u8>,
    mac: Option<&str>,
) -> Result<u64, HttpError> {
    let (mut head, ()) = http::Response::new(()).into_parts();
    head.status = status;
    if let Some(mac) = mac.and_then(|m| HeaderValue::from_str(m).ok()) {
        head.headers.insert(MAC_HEADER, mac);
    }
    let mut buf = BytesMut::new();
    encode_response_head(&head, Framing::Length(body.len() as u64), &mut buf);
    buf.extend_from_slice(&Bytes::from(body));
    let sent = buf.len() as u64;
    writer.write(buf.freeze()).await?;
    Ok(sent)
}
