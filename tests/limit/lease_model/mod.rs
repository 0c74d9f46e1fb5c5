//! A small specification of leases on one slice, which drives the product's own decisions.
//!
//! Pauses, cuts and outages need no events of their own: a daemon that does nothing for some
//! ticks is paused, a step or an answer that is never delivered is cut off, and both at once
//! for all daemons is an outage of the table.

mod bounds;
mod state;
mod table;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use chervillug::{
    catalog::Plan,
    clock::BootTime,
    lease::{Candidate, LeaseTerms, SessionId, SliceId, SliceRow, PARTS_PER_SLICE},
    limit::{BucketLevels, LeaseChange, OwnershipState, PlanSplit, TakeOutcome, Versioned},
};

pub(crate) use bounds::{Bounds, DaemonBounds, Fault};
pub(crate) use state::State;
use state::{seal, Daemon, InFlight};
use table::Table;

pub(crate) const SLICE: SliceId = SliceId {
    partition: 8,
    index: 0,
};
const TICK: Duration = Duration::from_secs(1);
const WORKSPACE: &str = "parish";

pub(crate) struct Model {
    pub(crate) bounds: Bounds,
    pub(crate) fault: Fault,
    pub(crate) plan: Plan,
}

impl Model {
    pub(crate) fn new(bounds: Bounds, fault: Fault) -> Self {
        Self {
            bounds,
            fault,
            plan: Plan {
                plan: "small".into(),
                rate_per_s: 3.0 * 0.5,
                burst: 13,
            },
        }
    }

    fn now(&self, tick: u8) -> BootTime {
        BootTime::default() + TICK * u32::from(tick)
    }

    fn terms(&self, i: usize) -> LeaseTerms {
        LeaseTerms {
            short: TICK * self.bounds.daemons[i].short,
            long: TICK * self.bounds.daemons[i].long,
        }
    }

    /// Returns the state in which the first daemon owns the slice, which never had an owner.
    pub(crate) fn start(&self) -> State {
        let mut state = State {
            tick: 0,
            table: Table {
                sessions: BTreeMap::new(),
                slice: None,
                last_version: 0,
            },
            daemons: Vec::new(),
            drains: Vec::new(),
            trace: None,
            fingerprint: 0,
        };
        for (i, bounds) in self.bounds.daemons.iter().enumerate() {
            let id = SessionId::new(&format!("entry-{i}"), 0);
            let mut owner = OwnershipState::new(id.clone(), "hobart");
            let (renewal, step) = owner.begin_renewal(self.terms(i), self.now(0));
            state.table.apply(&step, false);
            owner.complete_renewal(&renewal);
            if i == 0 {
                let row = SliceRow::initial(id);
                let version = 1;
                state.table.slice = Some(Versioned { row, version });
            }
            state.daemons.push(Daemon {
                owner,
                bounds: [bounds.renewals, bounds.reads],
                read: None,
                flights: Vec::new(),
                levels: None,
                stopped: false,
                sessions: 0,
            });
        }
        state.table.last_version = 100;
        let table = state.table.clone();
        for d in &mut state.daemons {
            observe(&mut d.owner, &table, self.now(0), self.now(0));
        }
        seal(&mut state, None, String::new());
        state
    }

    /// Returns all states that one event leads to.
    pub(crate) fn successors(&self, state: &State) -> Vec<State> {
        let mut all = Vec::new();
        if state.tick < self.bounds.ticks {
            self.push(&mut all, state, "tick", |s| s.tick += 1);
        }
        for i in 0..state.daemons.len() {
            self.daemon_events(&mut all, state, i);
            for f in 0..state.daemons[i].flights.len() {
                self.flight_events(&mut all, state, i, f);
            }
        }
        all
    }

    fn push(&self, all: &mut Vec<State>, from: &State, name: &str, f: impl FnOnce(&mut State)) {
        let mut next = from.clone();
        f(&mut next);
        let event = format!("{name} at {}", from.tick);
        seal(&mut next, from.trace.clone(), event);
        all.push(next);
    }

    fn daemon_events(&self, all: &mut Vec<State>, state: &State, i: usize) {
        let d = &state.daemons[i];
        if d.stopped {
            return;
        }
        let now = self.now(state.tick);
        if d.read.is_some() {
            self.push(all, state, &format!("{i} gets its read"), |s| {
                self.finish_read(s, i);
            });
        } else if d.bounds[1] > 0 {
            self.push(all, state, &format!("{i} reads"), |s| {
                s.daemons[i].read = Some(Box::new(s.table.clone()));
                s.daemons[i].bounds[1] -= 1;
                if !self.bounds.stale_reads {
                    self.finish_read(s, i);
                }
            });
        }
        if d.bounds[0] > 0 && d.flights.len() < 2 {
            self.push(all, state, &format!("{i} renews"), |s| {
                let d = &mut s.daemons[i];
                d.bounds[0] -= 1;
                let (renewal, step) = d.owner.begin_renewal(self.terms(i), now);
                d.flights.push(InFlight {
                    step,
                    renewal: Some(renewal),
                    applied: false,
                });
            });
        }
        if state.drains.len() < usize::from(self.bounds.drains) {
            let mut drained = state.clone();
            let count = self.drain(&mut drained.daemons[i].owner, now);
            if count > 0 {
                drained.drains.push((state.tick, count));
                self.push(all, &drained, &format!("{i} admits {count}"), |_| {});
            }
        }
        if self.bounds.shutdown && i == 0 {
            self.push(all, state, "0 shuts down", |s| self.shut_down(s, now));
        }
    }

    fn flight_events(&self, all: &mut Vec<State>, state: &State, i: usize, f: usize) {
        let now = self.now(state.tick);
        let flight = &state.daemons[i].flights[f];
        if flight.applied {
            self.push(all, state, &format!("{i} gets an answer"), |s| {
                let d = &mut s.daemons[i];
                let mut renewal = d.flights.remove(f).renewal.expect("a renewal");
                if self.fault == Fault::LeaseFromAnswer {
                    renewal.sent = now;
                }
                d.owner.complete_renewal(&renewal);
            });
            return;
        }
        self.push(all, state, &format!("table applies {i}'s {f}"), |s| {
            let flight = s.daemons[i].flights[f].clone();
            let unchecked = self.fault == Fault::RenewalUnchecked && flight.renewal.is_some();
            let done = s.table.apply(&flight.step, unchecked);
            if done && flight.renewal.is_some() && !s.daemons[i].stopped {
                s.daemons[i].flights[f].applied = true;
            } else {
                s.daemons[i].flights.remove(f);
            }
        });
    }

    /// Delivers a read, and sends the steps that follow from it.
    fn finish_read(&self, s: &mut State, i: usize) {
        let now = self.now(s.tick);
        let seen = if self.fault == Fault::WatchFromEarlier {
            self.now(s.tick.saturating_sub(2))
        } else {
            now
        };
        let d = &mut s.daemons[i];
        let Some(table) = d.read.take() else {
            return;
        };
        let epoch = table.slice.as_ref().map_or(0, |r| r.row.epoch);
        if let Some((at, levels)) = d.levels.take_if(|(at, _)| *at == epoch) {
            d.owner.receive_levels(SLICE, at, levels);
        }
        if self.fault == Fault::TakerStartsFull && epoch > 1 {
            d.owner.receive_levels(SLICE, epoch, BucketLevels::full());
        }
        observe(&mut d.owner, &table, seen, now);
        if d.owner.has_ended() {
            let old = d.owner.session().clone();
            d.sessions += 1;
            let id = SessionId::new(old.host(), u64::from(d.sessions));
            d.owner.begin_session(id);
            let version = table.session_version(&old);
            self.send(d, OwnershipState::session_removal(&old, version));
        }
        let host = Candidate {
            host: "nobody",
            data_centre: "hobart",
        };
        for step in d.owner.pending_changes(&[SLICE], &[host], now) {
            self.send(d, step);
        }
    }

    fn send(&self, d: &mut Daemon, step: LeaseChange) {
        let step = match step {
            LeaseChange::Slice(mut change) if self.fault == Fault::TakesAll => {
                change.row.portions = vec![chervillug::lease::Portion::WHOLE];
                LeaseChange::Slice(change)
            }
            step => step,
        };
        if d.flights.len() < 3 && d.flights.iter().all(|f| f.step != step) {
            d.flights.push(InFlight {
                step,
                renewal: None,
                applied: false,
            });
        }
    }

    fn drain(&self, owner: &mut OwnershipState, now: BootTime) -> u32 {
        let workspace = Rc::from(WORKSPACE);
        let mut count = 0;
        while let TakeOutcome::Granted(_) = owner.take(SLICE, &workspace, &self.plan, now) {
            count += 1;
        }
        count
    }

    fn shut_down(&self, s: &mut State, now: BootTime) {
        let to = s.daemons[1].owner.session().clone();
        let successor = Candidate {
            host: "entry-1",
            data_centre: "hobart",
        };
        let d = &mut s.daemons[0];
        let session = d.owner.session().clone();
        let version = d.owner.own_version();
        let released = d.owner.release_all(&[(successor, to)], now);
        d.stopped = true;
        d.read = None;
        for (change, mut levels) in released {
            if self.fault == Fault::HandsOverFull {
                levels = BucketLevels::full();
            }
            let epoch = change.row.epoch;
            self.send(&mut s.daemons[0], LeaseChange::Slice(change));
            s.daemons[1].levels = Some((epoch, levels));
        }
        let forget = OwnershipState::session_removal(&session, version);
        self.send(&mut s.daemons[0], forget);
    }

    /// Returns the name of the property that does not hold in `state`.
    pub(crate) fn broken(&self, state: &State) -> Option<&'static str> {
        let split = PlanSplit::new(&self.plan);
        let whole = split.bucket_limits(0, &[chervillug::lease::Portion::WHOLE]);
        let whole = whole.expect("a bucket");
        for (i, (from, _)) in state.drains.iter().enumerate() {
            let mut sum = 0;
            for (to, count) in &state.drains[i..] {
                sum += count;
                let time = f64::from(to - from) * TICK.as_secs_f64();
                if f64::from(sum) > whole.burst + whole.rate_per_s * time + 1e-6 {
                    return Some("over the plan");
                }
            }
        }
        let now = self.now(state.tick);
        let used = state
            .daemons
            .iter()
            .flat_map(|d| d.owner.usable_portions(SLICE, now));
        let parts: u32 = used.map(|p| p.to - p.from).sum();
        (parts > PARTS_PER_SLICE).then_some("more owners than the slice has parts")
    }
}

fn observe(owner: &mut OwnershipState, table: &Table, seen: BootTime, now: BootTime) {
    let sessions: Vec<_> = table
        .sessions
        .iter()
        .map(|(id, r)| (id.clone(), r.clone()))
        .collect();
    owner.observe_sessions(&sessions, seen);
    let slices = table.slice.iter().map(|r| (SLICE, r.clone())).collect();
    owner.observe_slices(slices, now);
}
