//! Authorization of requests by chervillug's own lists.

use std::rc::Rc;

use bytes::Bytes;
use http::request;

use crate::{
    catalog::{KeyHasher, RouteLookup},
    clock::BootTime,
    outcome::ErrorKind,
    proxy::{
        exposes_key, validate_head, validate_path, AccessPolicy, AuthorizedRequest, CallerIdentity,
        DecisionBasis, HeadFormat,
    },
    retry::is_repeatable,
    sync::CatalogView,
};

use super::head_format::{declared_repeatable, NativeHeadFormat};

/// Maximum number of targets that one request is sent to.
const MAX_ATTEMPTS: u32 = 3;

/// Authorizes requests by the plans, routes and keys of the catalog.
pub struct CatalogPolicy {
    catalog: CatalogView,
    hasher: KeyHasher,
}

impl CatalogPolicy {
    /// Creates a policy for the lists in `catalog`, whose keys were hashed by `hasher`.
    pub fn new(catalog: CatalogView, hasher: KeyHasher) -> Self {
        Self { catalog, hasher }
    }
}

impl AccessPolicy for CatalogPolicy {
    fn authorize(
        &self,
        head: &request::Parts,
        now: BootTime,
    ) -> Result<AuthorizedRequest, ErrorKind> {
        validate_head(head)?;
        validate_path(head.uri.path())?;
        let key = NativeHeadFormat.key(&head.headers);
        let key = key.ok_or(ErrorKind::KeyMissing)?;
        let catalog = self.catalog.get();
        if !self.catalog.is_ready(now) {
            return Err(ErrorKind::NotReady);
        }
        let hash = self.hasher.hash(key);
        let workspace = catalog.workspace_of(&hash).ok_or(ErrorKind::KeyUnknown)?;
        if exposes_key(head, key) {
            return Err(ErrorKind::KeyExposed);
        }
        let plan = catalog.plan_of(workspace).ok_or(ErrorKind::PlanMissing)?;
        let RouteLookup::Open(route) = catalog.find_route(&plan.plan, head.uri.path()) else {
            return Err(ErrorKind::RouteClosed);
        };
        let declared = declared_repeatable(&head.headers);
        Ok(AuthorizedRequest {
            identity: Some(CallerIdentity {
                key: Bytes::copy_from_slice(key),
                hash,
                workspace: workspace.clone(),
                plan: plan.clone(),
            }),
            basis: DecisionBasis {
                version: catalog.revision(),
                proof_age: None,
            },
            // Requests are not hedged here, so that their routes need no names.
            route: Rc::from(""),
            service: Rc::from(route.service.as_str()),
            repeatable: is_repeatable(&head.method, route.repeatable, declared),
            max_attempts: MAX_ATTEMPTS,
            timeout: None,
            rank: 0,
        })
    }

    fn reauthorize(&self, authorized: &AuthorizedRequest, now: BootTime) -> Result<(), ErrorKind> {
        if !self.catalog.is_ready(now) {
            return Err(ErrorKind::NotReady);
        }
        let Some(identity) = &authorized.identity else {
            return Ok(());
        };
        let catalog = self.catalog.get();
        if catalog.workspace_of(&identity.hash) != Some(&identity.workspace) {
            return Err(ErrorKind::KeyUnknown);
        }
        Ok(())
    }

    fn is_key(&self, text: &[u8]) -> bool {
        let hash = self.hasher.hash(text);
        self.catalog.get().workspace_of(&hash).is_some()
    }

    fn is_ready(&self, now: BootTime) -> bool {
        self.catalog.is_ready(now)
    }
}
