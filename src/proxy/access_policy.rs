//! Access policy interface.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::request;

use crate::{
    catalog::{KeyHash, Plan},
    clock::BootTime,
    http::HeadLimits,
    outcome::ErrorKind,
};

/// The key of an authorized request and the workspace that owns it.
#[derive(Debug, Clone)]
pub struct CallerIdentity {
    /// The key.
    pub key: Bytes,
    /// Hash of the key.
    pub hash: KeyHash,
    /// Workspace that owns the key.
    pub workspace: Rc<str>,
    /// Plan of the workspace.
    pub plan: Plan,
}

/// The data on which an authorization decision is based.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionBasis {
    /// Version of the configuration or catalog.
    pub version: u64,
    /// Age of the latest proof that no newer version exists, if the policy tracks it.
    pub proof_age: Option<Duration>,
}

/// A request that the access policy allows.
#[derive(Debug, Clone)]
pub struct AuthorizedRequest {
    /// Identity of the caller; `None` on public routes, which require no key.
    pub identity: Option<CallerIdentity>,
    /// Basis of the authorization decision.
    pub basis: DecisionBasis,
    /// Name of the route, unique among those of the daemon.
    pub route: Rc<str>,
    /// Service that the request is routed to.
    pub service: Rc<str>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Maximum number of targets that the request may be sent to.
    pub max_attempts: u32,
    /// Timeout set by the operator.
    pub timeout: Option<Duration>,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
}

impl AuthorizedRequest {
    /// Returns the workspace, empty on public routes.
    pub fn workspace(&self) -> Rc<str> {
        match &self.identity {
            Some(identity) => identity.workspace.clone(),
            None => Rc::from(""),
        }
    }

    /// Returns the key; `None` on public routes, where there is none that targets must not see.
    pub fn key(&self) -> Option<&[u8]> {
        self.identity.as_ref().map(|i| &*i.key)
    }
}

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// Limits of a request head.
    pub head: HeadLimits,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Decides whether requests are allowed.
pub trait AccessPolicy {
    /// Checks the key, route and head of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is not allowed.
    fn authorize(
        &self,
        head: &request::Parts,
        now: BootTime,
    ) -> Result<AuthorizedRequest, ErrorKind>;

    /// Checks that a previously authorized request is still allowed.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is no longer allowed.
    fn reauthorize(&self, authorized: &AuthorizedRequest, now: BootTime) -> Result<(), ErrorKind>;

    /// Returns whether `text` is a key of any workspace.
    fn is_key(&self, text: &[u8]) -> bool;

    /// Returns whether the policy can currently authorize requests.
    fn is_ready(&self, now: BootTime) -> bool;

    /// Returns the limits on requests of callers, given those in the settings.
    fn caller_limits(&self, settings: CallerLimits) -> CallerLimits {
        settings
    }
}
