//! Resource limits and timeouts of a daemon.

use std::time::Duration;

use serde::Deserialize;
use serde_with::{serde_as, DurationMilliSeconds};

/// Resource limits and timeouts of a daemon.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum number of open caller connections.
    pub connections: usize,
    /// Maximum number of requests in flight.
    pub in_flight: usize,
    /// Maximum size of a request or response head in bytes.
    pub head_bytes: usize,
    /// Timeout for receiving a complete head, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "head_ms")]
    pub head_timeout: Duration,
    /// Timeout for idle caller connections, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_ms")]
    pub idle_timeout: Duration,
    /// Maximum size of a request body that is buffered before it is forwarded, in bytes.
    pub buffered_body_bytes: usize,
    /// Maximum total size of buffered request bodies in bytes.
    pub buffered_bytes: usize,
    /// Deadline of requests whose caller sets none, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Timeout for opening a connection to a target, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connect_ms")]
    pub connect_timeout: Duration,
    /// Timeout between two parts of a body, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "body_part_ms")]
    pub body_part_timeout: Duration,
    /// Time at a shutdown from the failing readiness check until new connections are refused, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "notice_ms")]
    pub drain_notice: Duration,
    /// Time at a shutdown for which an idle connection is kept for a last request, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_grace_ms")]
    pub idle_grace: Duration,
    /// Timeout at a shutdown for draining requests in flight, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "shutdown_ms")]
    pub shutdown_timeout: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 10_000,
            in_flight: 5_000,
            head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            buffered_body_bytes: 64 * 1024,
            buffered_bytes: 64 << 20,
            deadline: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(250),
            body_part_timeout: Duration::from_secs(10),
            drain_notice: Duration::from_secs(1),
            idle_grace: Duration::from_secs(2),
            shutdown_timeout: Duration::from_secs(30),
        }
    }
}
