//! Versioned routing configuration.

use std::time::Duration;

use crate::{catalog::Plan, health::ServiceWarmup};

/// One of the services that share the requests of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight of the service, relative to the other services of the route.
    pub weight: f64,
}

/// A route, selected by the host and path of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct HostRoute {
    /// Value of the `host` header without the port, in lower case.
    pub host: String,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// Services that requests are routed to; at least one.
    pub services: Vec<WeightedService>,
    /// Whether requests may run more than once.
    pub repeatable: bool,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Timeout of requests.
    pub timeout: Option<Duration>,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: String,
    /// Path of health probes sent to its targets.
    pub probe_path: String,
    /// What cold targets take; `None` if they are not limited.
    pub warmup: Option<ServiceWarmup>,
}

/// A workspace with its plan and keys.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceConfig {
    /// Name of the workspace.
    pub workspace: String,
    /// Keys of the workspace.
    pub keys: Vec<String>,
    /// Rate and burst of the workspace; a rate of 0 means no limit.
    pub plan: Plan,
    /// Rank of its requests, which goes before that of their route; `None` leaves it to the route.
    pub rank: Option<u32>,
}

/// Overrides of the limits on requests of callers; `None` keeps the value of the settings.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CallerLimitOverrides {
    /// Maximum size of a request head in bytes.
    pub head_bytes: Option<usize>,
    /// Maximum time to receive a complete request head.
    pub head_timeout: Option<Duration>,
    /// Maximum size of a request body in bytes.
    pub body_bytes: Option<u64>,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Option<Duration>,
}

/// A complete version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<HostRoute>,
    /// Services.
    pub services: Vec<ServiceSettings>,
    /// Workspaces; `None` if requests carry no keys.
    pub workspaces: Option<Vec<WorkspaceConfig>>,
    /// Overrides of the limits on requests of callers.
    pub limit_overrides: CallerLimitOverrides,
}
