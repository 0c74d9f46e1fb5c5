//! Bounds of one daemon.

use std::time::Duration;

use serde::Deserialize;
use serde_with::{serde_as, DurationMilliSeconds};

/// Bounds of one daemon.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Most open connections of callers.
    pub connections: usize,
    /// Most requests in flight.
    pub in_flight: usize,
    /// Most bytes of a request or response head.
    pub head_bytes: usize,
    /// Longest time for a head to arrive whole, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "head_ms")]
    pub head_timeout: Duration,
    /// Longest time that a caller's connection may stay idle, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_ms")]
    pub idle_timeout: Duration,
    /// Most bytes of a request body that are buffered before the request is sent on.
    pub buffered_body_bytes: usize,
    /// Most bytes of request bodies that are buffered at a time.
    pub buffered_bytes: usize,
    /// Deadline of a request whose caller names none, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Longest time to open a connection to a target, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connect_ms")]
    pub connect_timeout: Duration,
    /// Longest time between two parts of a body, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "body_part_ms")]
    pub body_part_timeout: Duration,
    /// Time from the failing check of the balancer until no new connections are taken, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "notice_ms")]
    pub drain_notice: Duration,
    /// Time for which an idle connection waits for a last request at a shutdown, ms.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_grace_ms")]
    pub idle_grace: Duration,
    /// Longest time for requests in flight to end at a shutdown, ms.
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
