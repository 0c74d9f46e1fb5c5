//! The server of the balancer's check and of the metrics.

use std::{fmt::Write, rc::Rc, time::Duration};

use bytes::BytesMut;
use http::{header, HeaderValue, StatusCode};
use monoio::{
    io::Splitable,
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    clock::Clock,
    http::{
        encode_response_head, request_body_kind, BodyKind, Framing, HeadLimits, HttpError,
        HttpReader, HttpWriter,
    },
    metrics::Metrics,
    proxy::AccessPolicy,
};

use super::ShutdownSignal;

/// Path of the metrics; any other path is the balancer's check.
const METRICS_PATH: &str = "/metrics";
/// Bounds of a request head.
const HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 4 * 1024,
    timeout: Duration::from_secs(2),
};
/// Longest time for which a connection stays idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause behind a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// What the server needs.
pub struct ReadinessServer {
    /// Tells whether requests can be judged.
    pub policy: Rc<dyn AccessPolicy>,
    /// The signal that the balancer is to send no new callers.
    pub leaving: ShutdownSignal,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
}

/// Accepts connections until the daemon ends.
pub async fn readiness_server_task(cx: Rc<ReadinessServer>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let cx = cx.clone();
                monoio::spawn(async move {
                    if let Err(e) = cx.serve(stream).await {
                        log::debug!("ready port: {e}");
                    }
                });
            }
            Err(e) => {
                log::error!("ready port: {e}");
                sleep(ACCEPT_RETRY).await;
            }
        }
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
        let ready = self.policy.is_ready(self.clock.now()) && !self.leaving.is_triggered();
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
        let mut counts = String::new();
        self.metrics.for_each_latency(
            |name, quantile, s| {
                let _ = writeln!(text, "chervillug_{name}{{quantile=\"{quantile}\"}} {s:.4}");
            },
            |name, count| {
                let _ = writeln!(counts, "chervillug_{name}_count {count}");
            },
        );
        text + &counts
    }
}
