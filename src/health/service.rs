//! One service as a daemon knows it.

use std::rc::Rc;

use crate::clock::BootTime;

use super::TargetId;

/// Identity of a service within one daemon, never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(pub u32);

/// One service as a daemon knows it; its sets are rebuilt on a change or when they are old.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub name: Rc<str>,
    /// All its targets.
    pub targets: Vec<TargetId>,
    /// The targets to route to.
    pub routing: Vec<TargetId>,
    /// The ejected targets that get a small share of idempotent work.
    pub on_trial: Vec<TargetId>,
    /// When the sets were built; none when they must be built again.
    pub built_at: Option<BootTime>,
}

impl Service {
    /// Makes a service without targets.
    pub fn new(name: Rc<str>) -> Self {
        Self {
            name,
            targets: Vec::new(),
            routing: Vec::new(),
            on_trial: Vec::new(),
            built_at: None,
        }
    }
}
