//! States of the model, and what led to them.

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
    pub(super) step: LeaseChange,
    pub(super) renewal: Option<Renewal>,
    pub(super) applied: bool,
}

#[derive(Debug, Clone)]
pub(super) struct Daemon {
    pub(super) owner: OwnershipState,
    pub(super) bounds: [u8; 2],
    pub(super) read: Option<Box<Table>>,
    pub(super) flights: Vec<InFlight>,
    pub(super) levels: Option<(u64, BucketLevels)>,
    pub(super) stopped: bool,
    pub(super) sessions: u8,
}

/// One state of the model; two states are one when their fingerprints agree.
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
    /// Returns how often the slice changed its owner, and how many former ones keep a part.
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

/// Gives a state its fingerprint and the event that led to it.
pub(super) fn seal(state: &mut State, before: Option<Rc<Trace>>, event: String) {
    let mut w = HashWriter(Xxh3::new());
    let _ = write!(
        w,
        "{}{:?}{:?}{:?}",
        state.tick, state.table, state.daemons, state.drains
    );
    state.fingerprint = w.0.digest128();
    state.trace = Some(Rc::new(Trace { event, before }));
}
