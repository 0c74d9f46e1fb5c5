//! The operator's configuration as stored on the platform.

use std::{collections::BTreeMap, time::Duration};

use serde::Deserialize;
use serde_with::{serde_as, DurationSecondsWithFrac};

use crate::{
    catalog::Plan,
    health::ServiceWarmup,
    proxy::is_valid_header_value,
    routing::{
        CallerLimitOverrides, Configuration, HostRoute, ServiceSettings, WeightedService,
        WorkspaceConfig,
    },
};

/// Rate at or below which a workspace is not limited.
const NO_LIMIT: f64 = 0.0;
/// Longest time for which targets of a service are cold, s; a larger number may be no duration.
const MAX_WARMUP_S: f64 = 86_400.0;

#[derive(Deserialize)]
struct ConfigurationRow {
    /// Version as hexadecimal digits.
    version: String,
    routes: BTreeMap<String, RouteField>,
    services: BTreeMap<String, ServiceField>,
    #[serde(default)]
    limits: LimitsField,
    tenants: Option<BTreeMap<String, TenantField>>,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteField {
    host: String,
    prefix: String,
    /// `safe`, `unsafe` or `upload`: whether requests may run more than once.
    r#type: String,
    /// Timeout of the whole request towards the caller, not of one attempt at a target.
    #[serde(default)]
    #[serde_as(as = "Option<DurationSecondsWithFrac<f64>>")]
    timeout_s: Option<Duration>,
    #[serde(default)]
    priority: u32,
    /// The only service; absent if `backends` is given.
    backend: Option<String>,
    backends: Option<Vec<BackendField>>,
    /// Maximum number of targets that one request may be sent to.
    attempts: Option<u32>,
    /// Whether requests need no key.
    #[serde(default)]
    anonymous: bool,
}

#[derive(Deserialize)]
struct BackendField {
    /// Name of a service.
    backend: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceField {
    health_path: String,
    /// Time for which a target is cold after its start, s.
    #[serde(default)]
    warmup_s: f64,
    /// Requests per second that a cold target takes.
    #[serde(default)]
    warmup_per_s: f64,
}

#[serde_as]
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct LimitsField {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<u64>,
    /// Timeout for receiving the complete head.
    #[serde_as(as = "Option<DurationSecondsWithFrac<f64>>")]
    header_timeout_s: Option<Duration>,
    #[serde_as(as = "Option<DurationSecondsWithFrac<f64>>")]
    idle_timeout_s: Option<Duration>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantField {
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u32>,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

/// Decodes the operator's configuration.
///
/// # Errors
///
/// Returns what is invalid in a configuration that cannot be used.
pub fn decode_configuration(body: &[u8]) -> Result<Configuration, String> {
    let row: ConfigurationRow = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let version = u64::from_str_radix(&row.version, 16)
        .map_err(|_| format!("version {}: expected hexadecimal digits", row.version))?;
    let routes = row.routes.into_iter().map(|(name, route)| {
        let known = |service: &str| row.services.contains_key(service);
        decode_route(&name, route, known).map_err(|e| format!("route {name}: {e}"))
    });
    let routes = routes.collect::<Result<Vec<_>, _>>()?;
    let services = row.services.into_iter().map(|(name, s)| ServiceSettings {
        name,
        probe_path: s.health_path,
        warmup: decode_warmup_limit(s.warmup_s, s.warmup_per_s),
    });
    let services = services.collect();
    let workspaces = row.tenants.map(|tenants| {
        let workspaces = tenants
            .into_iter()
            .map(|(name, t)| decode_workspace(name, t));
        workspaces.collect::<Result<Vec<_>, _>>()
    });
    let workspaces = workspaces.transpose()?;
    Ok(Configuration {
        version,
        routes,
        services,
        workspaces,
        limit_overrides: CallerLimitOverrides {
            head_bytes: row.limits.max_header_bytes,
            head_timeout: row.limits.header_timeout_s,
            body_bytes: row.limits.max_body_bytes,
            idle_timeout: row.limits.idle_timeout_s,
        },
    })
}

fn decode_route(
    name: &str,
    route: RouteField,
    known: impl Fn(&str) -> bool,
) -> Result<HostRoute, String> {
    let services = match (route.backend, route.backends) {
        (_, Some(parts)) => parts
            .into_iter()
            .map(|p| WeightedService {
                service: p.backend,
                weight: p.weight,
            })
            .collect(),
        (Some(service), None) => vec![WeightedService {
            service,
            weight: 1.0,
        }],
        (None, None) => Vec::new(),
    };
    let unknown = services.iter().find(|s| !known(&s.service));
    if let Some(unknown) = unknown {
        return Err(format!("service {} is not configured", unknown.service));
    }
    if services.is_empty() {
        return Err("expected at least one service".to_owned());
    }
    let repeatable = is_repeatable(name, &route.r#type);
    Ok(HostRoute {
        host: route.host.to_ascii_lowercase(),
        prefix: route.prefix,
        services,
        repeatable,
        max_attempts: route.attempts.unwrap_or(1).max(1),
        timeout: route.timeout_s.filter(|t| !t.is_zero()),
        rank: route.priority,
        public: route.anonymous,
    })
}

/// Returns what cold targets take; `None` if there is no limit.
fn decode_warmup_limit(warmup_s: f64, rate_per_s: f64) -> Option<ServiceWarmup> {
    let is_limited = warmup_s > 0.0 && rate_per_s > 0.0;
    is_limited.then(|| ServiceWarmup {
        duration: Duration::from_secs_f64(warmup_s.min(MAX_WARMUP_S)),
        rate_per_s,
    })
}

/// Returns whether requests of a route of type `kind` may run more than once. Those of a type that
/// this build does not know run at most once, so that one new type takes no route out of service.
fn is_repeatable(route: &str, kind: &str) -> bool {
    match kind {
        "safe" => true,
        "unsafe" | "upload" => false,
        other => {
            log::warn!(route = route, kind = other;
                "unknown route type, requests are sent at most once");
            false
        }
    }
}

fn decode_workspace(name: String, tenant: TenantField) -> Result<WorkspaceConfig, String> {
    if !is_valid_header_value(&name) {
        return Err(format!(
            "workspace {name:?}: expected a name that a header can hold"
        ));
    }
    let rate_per_s = tenant.rate_per_s.max(NO_LIMIT);
    Ok(WorkspaceConfig {
        plan: Plan {
            plan: name.clone(),
            rate_per_s,
            burst: tenant.burst.max(0.0) as u32,
        },
        workspace: name,
        keys: tenant.api_keys,
        rank: tenant.priority,
    })
}
