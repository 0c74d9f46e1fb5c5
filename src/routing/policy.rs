//! What the configuration in force allows.

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

/// Ranks of routes that one rank of a workspace stands above.
const RANKS_PER_WORKSPACE_RANK: u32 = 1000;

/// What the configuration in force allows.
pub struct RoutingPolicy {
    view: ConfigurationView,
    heads: Rc<dyn HeadFormat>,
    random: RefCell<fastrand::Rng>,
}

impl RoutingPolicy {
    /// Makes a policy of the configuration in `view`, whose requests have the form of `heads`.
    pub fn new(view: ConfigurationView, heads: Rc<dyn HeadFormat>) -> Self {
        Self {
            view,
            heads,
            random: RefCell::new(fastrand::Rng::new()),
        }
    }

    /// Refuses a key or route that is not known; a daemon that may have missed a newer
    /// configuration cannot tell, and says so.
    fn unknown(&self, kind: ErrorKind, now: BootTime) -> ErrorKind {
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
        let key = key.ok_or_else(|| self.unknown(ErrorKind::KeyMissing, now))?;
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

    fn draw_service(&self, route: &HostRoute) -> Option<Rc<str>> {
        let total: f64 = route.services.iter().map(|s| s.weight).sum();
        let mut left = self.random.borrow_mut().f64() * total;
        let drawn = route.services.iter().find(|s| {
            left -= s.weight;
            left < 0.0
        });
        let drawn = drawn.or(route.services.last())?;
        Some(Rc::from(drawn.service.as_str()))
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
        let route = route.ok_or_else(|| self.unknown(ErrorKind::RouteClosed, now))?;
        let identified = if table.requires_keys && !route.public {
            Some(self.identify(&table, head, now)?)
        } else {
            None
        };
        let (identity, workspace) = identified.unzip();
        let workspace_rank = workspace.and_then(|w| w.rank).unwrap_or(0);
        Ok(AuthorizedRequest {
            identity,
            basis: DecisionBasis {
                version: table.version,
                proof_age: self.view.freshness().age(now),
            },
            service: self.draw_service(route).ok_or(ErrorKind::RouteClosed)?,
            repeatable: route.repeatable,
            max_attempts: route.max_attempts,
            timeout: route.timeout,
            rank: workspace_rank * RANKS_PER_WORKSPACE_RANK + route.rank,
        })
    }

    fn reauthorize(&self, allowed: &AuthorizedRequest, now: BootTime) -> Result<(), ErrorKind> {
        let Some(identity) = &allowed.identity else {
            return Ok(());
        };
        if !self.view.is_fresh(now) {
            return Err(ErrorKind::NotReady);
        }
        let table = self.view.table();
        let holder = table.workspace_by_key(&identity.hash);
        if holder.is_none_or(|w| w.name != identity.workspace) {
            return Err(ErrorKind::KeyUnknown);
        }
        Ok(())
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
