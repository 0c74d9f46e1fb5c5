//! Checks before a request is sent to a target.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{request, Method, Version};

use crate::{
    catalog::{Plan, RouteLookup},
    limit::{Admission, Grant},
    outcome::ErrorKind,
};

use super::{
    headers::{bearer_key, exposes_key},
    ProxyContext,
};

/// A refusal, with the time after which a retry makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Refusal {
    /// Why the request is refused.
    pub(super) kind: ErrorKind,
    /// When a retry makes sense, where it differs from the kind's own time.
    pub(super) retry_after: Option<Duration>,
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }
}

/// A request that its key and the lists allow.
pub(super) struct Allowed {
    /// The key.
    pub(super) key: Bytes,
    /// Workspace of the key.
    pub(super) workspace: Rc<str>,
    /// Plan of the workspace.
    pub(super) plan: Plan,
    /// Service that the path leads to.
    pub(super) service: Rc<str>,
    /// Mark of the route on whether a request may run more than once.
    pub(super) repeatable: Option<bool>,
}

/// Checks key, plan and route of a request against the revision in force.
pub(super) fn authorize(cx: &ProxyContext, head: &request::Parts) -> Result<Allowed, Refusal> {
    check_form(head)?;
    let key = bearer_key(&head.headers).ok_or(ErrorKind::KeyMissing)?;
    let catalog = cx.catalog.get();
    if !cx.catalog.is_ready(cx.clock.now()) {
        return Err(ErrorKind::NotReady.into());
    }
    let hash = cx.hasher.hash(key);
    let workspace = catalog.workspace_of(&hash).ok_or(ErrorKind::KeyUnknown)?;
    if exposes_key(head, key) {
        return Err(ErrorKind::KeyExposed.into());
    }
    let plan = catalog.plan_of(workspace).ok_or(ErrorKind::PlanMissing)?;
    match catalog.route(&plan.plan, head.uri.path()) {
        RouteLookup::Closed => Err(ErrorKind::RouteClosed.into()),
        RouteLookup::Open(route) => Ok(Allowed {
            key: Bytes::copy_from_slice(key),
            workspace: workspace.clone(),
            plan: plan.clone(),
            service: Rc::from(route.service.as_str()),
            repeatable: route.repeatable,
        }),
    }
}

fn check_form(head: &request::Parts) -> Result<(), ErrorKind> {
    let origin_form = head.uri.authority().is_none() && head.uri.path().starts_with('/');
    if !origin_form || head.method == Method::CONNECT || head.method == Method::TRACE {
        return Err(ErrorKind::BadRequest);
    }
    let path = head.uri.path();
    if path.split('/').any(is_dot_segment) || path.contains("//") || path.contains('\\') {
        return Err(ErrorKind::BadRequest);
    }
    if path.contains('%') && decodes_to_separator(path) {
        return Err(ErrorKind::BadRequest);
    }
    let expect = head.headers.get(http::header::EXPECT);
    if expect.is_some_and(|v| !v.as_bytes().eq_ignore_ascii_case(b"100-continue")) {
        return Err(ErrorKind::BadRequest);
    }
    let hosts = head.headers.get_all(http::header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && head.version == Version::HTTP_11) {
        return Err(ErrorKind::BadRequest);
    }
    Ok(())
}

/// Tells whether a segment is `.` or `..`, without its parameters.
fn is_dot_segment(segment: &str) -> bool {
    let name = segment.split(';').next().unwrap_or(segment);
    name == "." || name == ".."
}

/// Tells whether `path` holds an encoded dot, slash or backslash, which a target may decode.
fn decodes_to_separator(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    ["%2e", "%2f", "%5c"]
        .iter()
        .any(|code| lower.contains(code))
}

/// Asks for one request inside the workspace's rate and burst.
pub(super) async fn admit(cx: &ProxyContext, allowed: &Allowed) -> Result<Grant, Refusal> {
    match cx.limiter.admit(&allowed.workspace, &allowed.plan).await {
        Admission::Granted(grant) => Ok(grant),
        Admission::Exceeded(wait) => Err(Refusal {
            kind: ErrorKind::RateExceeded,
            retry_after: Some(wait),
        }),
        Admission::Unavailable => Err(ErrorKind::RateUnavailable.into()),
    }
}
