//! Routes that a plan may use.

use serde::{Deserialize, Serialize};

/// One route: a path prefix and the service that serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Service whose targets serve the route.
    pub service: String,
    /// Path prefix, matched by whole segments.
    pub prefix: String,
    /// Whether requests may run more than once; if `None`, the method decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
}

/// The routes of one plan, sorted for lookup by prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteSet {
    /// Sorted by prefix.
    routes: Vec<Route>,
}

impl RouteSet {
    /// Creates a set of `routes`; of two with the same prefix the last one is kept.
    pub fn new(routes: &[Route]) -> Self {
        let mut sorted: Vec<Route> = Vec::with_capacity(routes.len());
        for route in routes {
            let mut route = route.clone();
            let trimmed = route.prefix.trim_end_matches('/').len();
            route.prefix.truncate(trimmed);
            match sorted.binary_search_by(|r| r.prefix.cmp(&route.prefix)) {
                Ok(i) => sorted[i] = route,
                Err(i) => sorted.insert(i, route),
            }
        }
        Self { routes: sorted }
    }

    /// Returns the routes, sorted by prefix.
    pub fn as_slice(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the route with the longest prefix of `path`, matched by whole segments.
    pub fn longest_match(&self, path: &str) -> Option<&Route> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            if let Ok(i) = self
                .routes
                .binary_search_by(|r| r.prefix.as_str().cmp(prefix))
            {
                return Some(&self.routes[i]);
            }
            let cut = prefix.rfind('/')?;
            prefix = &prefix[..cut];
        }
    }
}
