//! Server for the load balancer's readiness check and the metrics.

use std::{fmt::Write, rc::Rc, time::Duration};

use bytes::BytesMut;
use http::{header, HeaderValue, StatusCode};
use monoio::{
    io::Splitable,
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::{
    clock::Clock,
    http::{
        accept_task, encode_response_head, request_body_kind, BodyKind, ConnectionHandler, Framing,
        HeadLimits, HttpError, HttpReader, HttpWriter,
    },
    metrics::Metrics,
    proxy::AccessPolicy,
    store::BoxFuture,
};

use super::ShutdownSignal;

/// Path of the metrics; any other path is the readiness check.
const METRICS_PATH: &str = "/metrics";
/// Limits for a request head.
const HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 4 * 1024,
    timeout: Duration::from_secs(2),
};
/// Timeout for idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Context of the readiness server.
pub struct ReadinessServer {
    /// Reports whether requests can be authorized.
    pub policy: Rc<dyn AccessPolicy>,
    /// Triggered when the load balancer should send no new connections.
    pub draining: ShutdownSignal,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
}

/// Accepts connections until the daemon exits.
pub async fn readiness_server_task(cx: Rc<ReadinessServer>, listener: TcpListener) {
    accept_task(listener, "readiness", cx).await;
}

impl ConnectionHandler for ReadinessServer {
    fn serve_connection(&self, stream: TcpStream) -> BoxFuture<'_, Result<(), HttpError>> {
        Box::pin(self.serve(stream))
    }
}

impl ReadinessServer {
    async fn serve(&self, stream: TcpStream) -> Result<(), HttpError> {
        let (r, w) = stream.into_split();
        let mut reader = HttpReader::new(r);
        let mut writer = HttpWriter::new(w);
        while matches!(
            timeout(IDLE_TIMEOUT, reader.wait_for_message()).await,
            Ok(Ok(true))
        ) {
            let head = reader.read_request_head(&HEAD_LIMITS).await?;
            if request_body_kind(&head)? != BodyKind::Empty {
                return Ok(());
            }
            let (status, body) = self.answer(head.uri.path());
            let (mut head, ()) = http::Response::new(()).into_parts();
            head.status = status;
            let text = HeaderValue::from_static("text/plain");
            head.headers.insert(header::CONTENT_TYPE, text);
            let mut buf = BytesMut::new();
            encode_response_head(&head, Framing::Length(body.len() as u64), &mut buf);
            buf.extend_from_slice(body.as_bytes());
            writer.write(buf.freeze()).await?;
        }
        Ok(())
    }

    fn answer(&self, path: &str) -> (StatusCode, String) {
        if path == METRICS_PATH {
            return (StatusCode::OK, self.metrics_text());
        }
        let ready = self.policy.is_ready(self.clock.now()) && !self.draining.is_triggered();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, String::new())
    }

    fn metrics_text(&self) -> String {
        let mut text = String::new();
        self.metrics.for_each_counter(|name, value| {
            let name = name.replace('.', "_");
            let _ = writeln!(text, "chervillug_{name} {value}");
        });
        let mut latency_counts = String::new();
        self.metrics.for_each_latency(
            |name, quantile, s| {
                let _ = writeln!(text, "chervillug_{name}{{quantile=\"{quantile}\"}} {s:.4}");
            },
            |name, count| {
                let _ = writeln!(latency_counts, "chervillug_{name}_count {count}");
            },
        );
        text + &latency_counts
    }
}
