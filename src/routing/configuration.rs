//! One whole version of the configuration.

use std::time::Duration;

use crate::catalog::Plan;

/// One of the services among which a route's requests are distributed.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its share of the requests, relative to the other weights of the route.
    pub weight: f64,
}

/// A route, which requests reach by their host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct HostRoute {
    /// Host that requests name, in lower case.
    pub host: String,
    /// Beginning of the path; it begins and ends with a slash.
    pub prefix: String,
    /// Services that serve the route; at least one.
    pub services: Vec<WeightedService>,
    /// Whether requests may run more than once.
    pub repeatable: bool,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// Rank; 0 is served first.
    pub rank: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// What is configured of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: String,
    /// Path on which its targets answer probes.
    pub probe_path: String,
}

/// A workspace with its plan and keys.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceConfig {
    /// Name of the workspace.
    pub workspace: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rate and burst; a rate of 0 means no limit.
    pub plan: Plan,
    /// Rank of its requests, which goes before that of their routes.
    pub rank: Option<u32>,
}

/// Bounds on what callers may send; none leaves the setting in force.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CallerLimitOverrides {
    /// Most bytes of a head.
    pub head_bytes: Option<usize>,
    /// Longest time for a head to arrive whole.
    pub head_timeout: Option<Duration>,
    /// Most bytes of a body.
    pub body_bytes: Option<u64>,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Option<Duration>,
}

/// One whole version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Its version; a higher one replaces it.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<HostRoute>,
    /// Its services.
    pub services: Vec<ServiceSettings>,
    /// Its workspaces; none means that requests carry no keys.
    pub workspaces: Option<Vec<WorkspaceConfig>>,
    /// Bounds on what callers may send.
    pub limit_overrides: CallerLimitOverrides,
}
