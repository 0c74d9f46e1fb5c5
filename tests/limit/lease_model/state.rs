//! States of the model, with the events that led to them.

use std::{
    fmt::{self, Write},
    hash::{Hash, Hasher},
    rc::Rc,
};

use chervillug::{
    lease::Renewal,
    limit::{BucketLevels, LeaseChange, OwnershipState},
};
use xxhash_rust::xxh3::Xxh3;

use super::table::Table;

#[derive(Debug, Clone)]
pub(super) struct InFlight {
    pub(super) change: LeaseChange,
    pub(super) renewal: Option<Renewal>,
    pub(super) applied: bool,
}

#[derive(Debug, Clone)]
pub(super) struct Daemon {
    pub(super) ownership: OwnershipState,
    pub(super) renewals_left: u8,
    pub(super) reads_left: u8,
    pub(super) read: Option<Box<Table>>,
    pub(super) in_flight: Vec<InFlight>,
    pub(super) levels: Option<(u64, BucketLevels)>,
    pub(super) stopped: bool,
    pub(super) sessions: u8,
}

/// One state of the model; states with equal fingerprints are considered equal.
#[derive(Clone)]
pub(crate) struct State {
    pub(super) tick: u8,
    pub(super) table: Table,
    pub(super) daemons: Vec<Daemon>,
    pub(super) drains: Vec<(u8, u32)>,
    pub(crate) trace: Option<Rc<Trace>>,
    pub(super) fingerprint: u128,
}

/// The events that led to a state.
#[derive(Debug)]
pub(crate) struct Trace {
    pub(crate) event: String,
    pub(crate) before: Option<Rc<Trace>>,
}

impl State {
    /// Returns the epoch of the slice, which grows with each change of its owner, and the number of
    /// former owners that retain a part of it.
    pub(crate) fn changes(&self) -> (u64, usize) {
        let row = self.table.slice.as_ref().map(|r| &r.row);
        row.map_or((0, 0), |r| (r.epoch, r.residues.len()))
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}

pub(super) struct HashWriter(Xxh3);

impl Write for HashWriter {
    fn write_str(&mut self, s: &str) -> fmt::Result {
        self.0.update(s.as_bytes());
        Ok(())
    }
}

/// Sets the fingerprint of a state and the event that led to it.
pub(super) fn finalize(state: &mut State, before: Option<Rc<Trace>>, event: String) {
    let mut w = HashWriter(Xxh3::new());
    let _ = write!(
        w,
        "{}{:?}{:?}{:?}",
        state.tick, state.table, state.daemons, state.drains
    );
    state.fingerprint = w.0.digest128();
    state.trace = Some(Rc::new(Trace { event, before }));
}
