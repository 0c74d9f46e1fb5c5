//! A configuration made ready for look-up.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::catalog::{KeyHash, KeyHasher, Plan};

use super::{CallerLimitOverrides, Configuration, HostRoute};

/// A workspace as requests see it.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: Rc<str>,
    /// Its rate and burst.
    pub plan: Plan,
    /// Rank of its requests, which goes before that of their routes.
    pub rank: Option<u32>,
}

/// A configuration made ready for look-up.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration; 0 when there is none yet.
    pub version: u64,
    /// Whether requests carry keys.
    pub requires_keys: bool,
    /// Bounds on what callers may send.
    pub limit_overrides: CallerLimitOverrides,
    routes: FxHashMap<String, FxHashMap<String, HostRoute>>,
    by_key: FxHashMap<KeyHash, Rc<Workspace>>,
    by_name: FxHashMap<Rc<str>, Rc<Workspace>>,
    probe_paths: FxHashMap<String, String>,
}

impl RouteTable {
    /// Makes the table of `cfg`; keys are kept as hashes only.
    pub fn new(cfg: &Configuration, hasher: &KeyHasher) -> Self {
        let mut table = Self {
            version: cfg.version,
            requires_keys: cfg.workspaces.is_some(),
            limit_overrides: cfg.limit_overrides,
            ..Self::default()
        };
        for route in &cfg.routes {
            let host = table.routes.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), route.clone());
        }
        for holder in cfg.workspaces.iter().flatten() {
            let workspace = Rc::new(Workspace {
                name: Rc::from(holder.workspace.as_str()),
                plan: holder.plan.clone(),
                rank: holder.rank,
            });
            let hashes = holder.keys.iter().map(|key| hasher.hash(key.as_bytes()));
            let keyed = hashes.map(|hash| (hash, workspace.clone()));
            table.by_key.extend(keyed);
            table.by_name.insert(workspace.name.clone(), workspace);
        }
        let paths = cfg
            .services
            .iter()
            .map(|s| (s.name.clone(), s.probe_path.clone()));
        table.probe_paths = paths.collect();
        table
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&HostRoute> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        let mut prefix = path;
        loop {
            let end = prefix.rfind('/')?;
            if let Some(route) = routes.get(&prefix[..=end]) {
                return Some(route);
            }
            prefix = &prefix[..end];
        }
    }

    /// Returns the workspace of a key.
    pub fn workspace_by_key(&self, hash: &KeyHash) -> Option<&Rc<Workspace>> {
        self.by_key.get(hash)
    }

    /// Returns the workspace of this name.
    pub fn workspace_by_name(&self, name: &str) -> Option<&Rc<Workspace>> {
        self.by_name.get(name)
    }

    /// Returns the path on which targets of a service answer probes.
    pub fn probe_path(&self, service: &str) -> Option<&str> {
        self.probe_paths.get(service).map(String::as_str)
    }
}
