//! Lookup tables of a configuration.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use crate::{
    catalog::{KeyHash, KeyHasher, Plan},
    health::ServiceWarmup,
};

use super::{CallerLimitOverrides, Configuration, HostRoute};

/// A workspace, without its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Rc<str>,
    /// Rate and burst of the workspace.
    pub plan: Plan,
    /// Rank of its requests, which goes before that of their route; `None` leaves it to the route.
    pub rank: Option<u32>,
}

/// Lookup tables of a configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration; 0 if there is none yet.
    pub version: u64,
    /// Whether requests to routes that are not public require a key.
    pub requires_keys: bool,
    /// Overrides of the limits on requests of callers.
    pub limit_overrides: CallerLimitOverrides,
    /// Whether requests differ in rank, so that admission by rank is active.
    pub has_several_ranks: bool,
    routes: FxHashMap<String, FxHashMap<String, HostRoute>>,
    by_key: FxHashMap<KeyHash, Rc<Workspace>>,
    by_name: FxHashMap<Rc<str>, Rc<Workspace>>,
    probe_paths: FxHashMap<String, String>,
    warmups: FxHashMap<String, ServiceWarmup>,
}

impl RouteTable {
    /// Builds the tables of `cfg`; keys are stored only as hashes.
    pub fn new(cfg: &Configuration, hasher: &KeyHasher) -> Self {
        let mut table = Self {
            version: cfg.version,
            requires_keys: cfg.workspaces.is_some(),
            limit_overrides: cfg.limit_overrides,
            has_several_ranks: has_several_ranks(cfg),
            ..Self::default()
        };
        for route in &cfg.routes {
            let host = table.routes.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), route.clone());
        }
        for workspace_cfg in cfg.workspaces.iter().flatten() {
            let workspace = Rc::new(Workspace {
                name: Rc::from(workspace_cfg.workspace.as_str()),
                plan: workspace_cfg.plan.clone(),
                rank: workspace_cfg.rank,
            });
            let hashes = workspace_cfg
                .keys
                .iter()
                .map(|key| hasher.hash(key.as_bytes()));
            let entries = hashes.map(|hash| (hash, workspace.clone()));
            table.by_key.extend(entries);
            table.by_name.insert(workspace.name.clone(), workspace);
        }
        let paths = cfg
            .services
            .iter()
            .map(|s| (s.name.clone(), s.probe_path.clone()));
        table.probe_paths = paths.collect();
        let warmups = cfg.services.iter();
        table.warmups = warmups
            .filter_map(|s| Some((s.name.clone(), s.warmup?)))
            .collect();
        table
    }

    /// Returns the route of `host` with the longest prefix of `path`.
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

    /// Returns the workspace that owns the key with this hash.
    pub fn workspace_by_key(&self, hash: &KeyHash) -> Option<&Rc<Workspace>> {
        self.by_key.get(hash)
    }

    /// Returns the workspace with this name.
    pub fn workspace_by_name(&self, name: &str) -> Option<&Rc<Workspace>> {
        self.by_name.get(name)
    }

    /// Returns the services whose cold targets take a limited rate.
    pub fn warmups(&self) -> impl Iterator<Item = (&str, ServiceWarmup)> {
        self.warmups.iter().map(|(name, w)| (name.as_str(), *w))
    }

    /// Returns the path of health probes sent to targets of a service.
    pub fn probe_path(&self, service: &str) -> Option<&str> {
        self.probe_paths.get(service).map(String::as_str)
    }
}

/// Returns whether two routes, or two workspaces, differ in rank.
fn has_several_ranks(cfg: &Configuration) -> bool {
    let differ = |mut ranks: Box<dyn Iterator<Item = u32> + '_>| {
        let first = ranks.next();
        ranks.any(|rank| Some(rank) != first)
    };
    let Some(route_rank) = cfg.routes.first().map(|r| r.rank) else {
        return false;
    };
    // The rank of the route stands in for that of a workspace without one.
    let workspaces = cfg.workspaces.iter().flatten();
    let public = cfg.routes.iter().filter(|r| r.public).map(|_| route_rank);
    let workspace_ranks = workspaces.map(|w| w.rank.unwrap_or(route_rank));
    differ(Box::new(cfg.routes.iter().map(|r| r.rank)))
        || differ(Box::new(workspace_ranks.chain(public)))
}
