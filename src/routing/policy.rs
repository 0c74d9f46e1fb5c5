//! Access policy of the routing configuration.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use http::{header, request};

use crate::{
    clock::BootTime,
    http::HeadLimits,
    outcome::ErrorKind,
    proxy::{
        exposes_key, validate_head, AccessPolicy, AuthorizedRequest, CallerIdentity, CallerLimits,
        DecisionBasis, HeadFormat,
    },
};

use super::{ConfigurationView, HostRoute, RouteTable, Workspace};

/// Number of route ranks per workspace rank. The rank of a request combines both: it is the workspace
/// rank times this number, plus the route rank, which is capped so that the workspace takes precedence.
const RANKS_PER_WORKSPACE_RANK: u32 = 1000;

/// Authorizes requests by the routing configuration in force.
pub struct RoutingPolicy {
    view: ConfigurationView,
    heads: Rc<dyn HeadFormat>,
    random: RefCell<fastrand::Rng>,
}

impl RoutingPolicy {
    /// Creates a policy for the configuration in `view` and requests in the format `heads`.
    pub fn new(view: ConfigurationView, heads: Rc<dyn HeadFormat>) -> Self {
        Self {
            view,
            heads,
            random: RefCell::new(fastrand::Rng::new()),
        }
    }

    /// Returns the error for an unknown key or route: `kind`, or [`ErrorKind::NotReady`] if this
    /// daemon may have missed a newer configuration.
    fn unknown_error(&self, kind: ErrorKind, now: BootTime) -> ErrorKind {
        if self.view.is_fresh(now) {
            kind
        } else {
            ErrorKind::NotReady
        }
    }

    fn identify(
        &self,
        table: &RouteTable,
        head: &request::Parts,
        now: BootTime,
    ) -> Result<(CallerIdentity, Rc<Workspace>), ErrorKind> {
        let key = self.heads.key(&head.headers);
        let key = key.ok_or_else(|| self.unknown_error(ErrorKind::KeyMissing, now))?;
        if !self.view.is_fresh(now) {
            return Err(ErrorKind::NotReady);
        }
        let hash = self.view.hasher().hash(key);
        let workspace = table.workspace_by_key(&hash).ok_or(ErrorKind::KeyUnknown)?;
        if exposes_key(head, key) {
            return Err(ErrorKind::KeyExposed);
        }
        let identity = CallerIdentity {
            key: Bytes::copy_from_slice(key),
            hash,
            workspace: workspace.name.clone(),
            plan: workspace.plan.clone(),
        };
        Ok((identity, workspace.clone()))
    }

    fn choose_service(&self, route: &HostRoute) -> Option<Rc<str>> {
        let total: f64 = route.services.iter().map(|s| s.weight).sum();
        let mut remaining = self.random.borrow_mut().f64() * total;
        let chosen = route.services.iter().find(|s| {
            remaining -= s.weight;
            remaining < 0.0
        });
        let chosen = chosen.or(route.services.last())?;
        Some(Rc::from(chosen.service.as_str()))
    }
}

impl AccessPolicy for RoutingPolicy {
    fn authorize(
        &self,
        head: &request::Parts,
        now: BootTime,
    ) -> Result<AuthorizedRequest, ErrorKind> {
        validate_head(head)?;
        let table = self.view.table();
        if table.version == 0 {
            return Err(ErrorKind::NotReady);
        }
        let host = head.headers.get(header::HOST);
        let host = host.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let route = table.find_route(host, head.uri.path());
        let route = route.ok_or_else(|| self.unknown_error(ErrorKind::RouteClosed, now))?;
        let identified = if table.requires_keys && !route.public {
            Some(self.identify(&table, head, now)?)
        } else {
            None
        };
        let (identity, workspace) = identified.unzip();
        // Without a rank of the workspace, that of the route decides, so that such requests are not
        // all among the most urgent.
        let workspace_rank = workspace.and_then(|w| w.rank).unwrap_or(route.rank);
        Ok(AuthorizedRequest {
            identity,
            basis: DecisionBasis {
                version: table.version,
                proof_age: self.view.freshness().age(now),
            },
            route: Rc::from([&*route.host, &*route.prefix].concat()),
            service: self.choose_service(route).ok_or(ErrorKind::RouteClosed)?,
            repeatable: route.repeatable,
            max_attempts: route.max_attempts,
            timeout: route.timeout,
            rank: workspace_rank
                .saturating_mul(RANKS_PER_WORKSPACE_RANK)
                .saturating_add(route.rank.min(RANKS_PER_WORKSPACE_RANK - 1)),
        })
    }

    fn reauthorize(&self, authorized: &AuthorizedRequest, now: BootTime) -> Result<(), ErrorKind> {
        let Some(identity) = &authorized.identity else {
            return Ok(());
        };
        if !self.view.is_fresh(now) {
            return Err(ErrorKind::NotReady);
        }
        let table = self.view.table();
        let workspace = table.workspace_by_key(&identity.hash);
        if workspace.is_none_or(|w| w.name != identity.workspace) {
            return Err(ErrorKind::KeyUnknown);
        }
        Ok(())
    }

    fn is_key(&self, text: &[u8]) -> bool {
        let hash = self.view.hasher().hash(text);
        self.view.table().workspace_by_key(&hash).is_some()
    }

    fn is_ready(&self, now: BootTime) -> bool {
        self.view.is_fresh(now)
    }

    fn caller_limits(&self, settings: CallerLimits) -> CallerLimits {
        let overrides = self.view.table().limit_overrides;
        CallerLimits {
            head: HeadLimits {
                max_bytes: overrides.head_bytes.unwrap_or(settings.head.max_bytes),
                timeout: overrides.head_timeout.unwrap_or(settings.head.timeout),
            },
            body_bytes: overrides.body_bytes.unwrap_or(settings.body_bytes),
            idle_timeout: overrides.idle_timeout.unwrap_or(settings.idle_timeout),
        }
    }
}
