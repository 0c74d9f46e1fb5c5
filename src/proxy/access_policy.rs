//! The border between requests and the lists that allow them.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::request;

use crate::{
    catalog::{KeyHash, Plan},
    clock::BootTime,
    http::HeadLimits,
    outcome::ErrorKind,
};

/// The key of an allowed request and what it stands for.
#[derive(Debug, Clone)]
pub struct CallerIdentity {
    /// The key.
    pub key: Bytes,
    /// Hash of the key.
    pub hash: KeyHash,
    /// Workspace of the key.
    pub workspace: Rc<str>,
    /// Plan of the workspace.
    pub plan: Plan,
}

/// What a decision on a request rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionBasis {
    /// Version of the lists.
    pub version: u64,
    /// Age of the proof that there was no newer one, where that is counted.
    pub proof_age: Option<Duration>,
}

/// A request that its key and the lists allow.
#[derive(Debug, Clone)]
pub struct AuthorizedRequest {
    /// Whose request it is; none on routes that are open without a key.
    pub identity: Option<CallerIdentity>,
    /// What the decision rests on.
    pub basis: DecisionBasis,
    /// Service that the request goes to.
    pub service: Rc<str>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Most targets that the request may be sent to.
    pub max_attempts: u32,
    /// Longest time for which the operator wants the caller to wait.
    pub timeout: Option<Duration>,
    /// Rank among the requests that wait for a target; the lowest goes first.
    pub rank: u32,
}

impl AuthorizedRequest {
    /// Returns the workspace, empty on routes that are open without a key.
    pub fn workspace(&self) -> Rc<str> {
        match &self.identity {
            Some(identity) => identity.workspace.clone(),
            None => Rc::from(""),
        }
    }

    /// Returns the key, empty where there is none.
    pub fn key(&self) -> &[u8] {
        self.identity.as_ref().map_or(&[], |i| &i.key)
    }
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// Bounds of a request head.
    pub head: HeadLimits,
    /// Most bytes of a request body.
    pub body_bytes: u64,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Decides whether the lists allow a request.
pub trait AccessPolicy {
    /// Checks key, route and form of a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is not allowed.
    fn authorize(
        &self,
        head: &request::Parts,
        now: BootTime,
    ) -> Result<AuthorizedRequest, ErrorKind>;

    /// Checks that a request which was allowed before still is.
    ///
    /// # Errors
    ///
    /// Returns why it no longer is.
    fn reauthorize(&self, allowed: &AuthorizedRequest, now: BootTime) -> Result<(), ErrorKind>;

    /// Tells whether requests can be judged now.
    fn is_ready(&self, now: BootTime) -> bool;

    /// Returns the bounds on what callers may send, given those of the settings.
    fn caller_limits(&self, settings: CallerLimits) -> CallerLimits {
        settings
    }
}
