//! One target as a daemon knows it.

use std::{net::SocketAddr, rc::Rc};

/// Identity of a target within one daemon, never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetId(pub u32);

/// What the list or the target itself says about taking new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It takes work.
    Serving,
    /// It takes work slowly at first.
    Cold,
    /// It is leaving and takes no new work.
    Leaving,
}

/// One target as a daemon knows it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Identity within this daemon.
    pub id: TargetId,
    /// Name in the platform's list.
    pub name: Rc<str>,
    /// Address under which it serves.
    pub address: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Requests of this daemon that it has now.
    pub in_flight: u32,
    /// Load that it reported last, as a share of its slots.
    pub reported_load: f64,
}
