//! A model of the leases on one slice that runs the decision code of the daemons.
//!
//! Pauses, network failures and outages need no events of their own: a daemon that does nothing for
//! some ticks is paused, a change or a response that is never delivered is lost in the network, and
//! both at once for all daemons are an outage of the table.

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
use state::{finalize, Daemon, InFlight};
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
            let mut ownership = OwnershipState::new(id.clone(), "hobart");
            let (renewal, change) = ownership.begin_renewal(self.terms(i), self.now(0));
            state.table.apply(&change, false);
            ownership.complete_renewal(&renewal);
            if i == 0 {
                let row = SliceRow::initial(id);
                let version = 1;
                state.table.slice = Some(Versioned { row, version });
            }
            state.daemons.push(Daemon {
                ownership,
                renewals_left: bounds.renewals,
                reads_left: bounds.reads,
                read: None,
                in_flight: Vec::new(),
                levels: None,
                stopped: false,
                sessions: 0,
            });
        }
        state.table.last_version = 100;
        let table = state.table.clone();
        for d in &mut state.daemons {
            observe(&mut d.ownership, &table, self.now(0), self.now(0));
        }
        finalize(&mut state, None, String::new());
        state
    }

    /// Returns all states that are reachable by one event.
    pub(crate) fn successors(&self, state: &State) -> Vec<State> {
        let mut all = Vec::new();
        if state.tick < self.bounds.ticks {
            self.push(&mut all, state, "tick", |s| s.tick += 1);
        }
        for i in 0..state.daemons.len() {
            self.daemon_events(&mut all, state, i);
            for f in 0..state.daemons[i].in_flight.len() {
                self.flight_events(&mut all, state, i, f);
            }
        }
        all
    }

    fn push(&self, all: &mut Vec<State>, from: &State, name: &str, f: impl FnOnce(&mut State)) {
        let mut next = from.clone();
        f(&mut next);
        let event = format!("{name} at {}", from.tick);
        finalize(&mut next, from.trace.clone(), event);
        all.push(next);
    }

    fn daemon_events(&self, all: &mut Vec<State>, state: &State, i: usize) {
        let d = &state.daemons[i];
        if d.stopped {
            return;
        }
        let now = self.now(state.tick);
        if d.read.is_some() {
            self.push(all, state, &format!("{i} receives its read"), |s| {
                self.finish_read(s, i);
            });
        } else if d.reads_left > 0 {
            self.push(all, state, &format!("{i} reads"), |s| {
                s.daemons[i].read = Some(Box::new(s.table.clone()));
                s.daemons[i].reads_left -= 1;
                if !self.bounds.stale_reads {
                    self.finish_read(s, i);
                }
            });
        }
        if d.renewals_left > 0 && d.in_flight.len() < 2 {
            self.push(all, state, &format!("{i} renews"), |s| {
                let d = &mut s.daemons[i];
                d.renewals_left -= 1;
                let (renewal, change) = d.ownership.begin_renewal(self.terms(i), now);
                d.in_flight.push(InFlight {
                    change,
                    renewal: Some(renewal),
                    applied: false,
                });
            });
        }
        if state.drains.len() < usize::from(self.bounds.drains) {
            let mut drained = state.clone();
            let count = self.drain(&mut drained.daemons[i].ownership, now);
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
        let flight = &state.daemons[i].in_flight[f];
        if flight.applied {
            self.push(all, state, &format!("{i} receives a response"), |s| {
                let d = &mut s.daemons[i];
                let mut renewal = d.in_flight.remove(f).renewal.expect("a renewal");
                if self.fault == Fault::TermFromResponse {
                    renewal.sent = now;
                }
                d.ownership.complete_renewal(&renewal);
            });
            return;
        }
        self.push(
            all,
            state,
            &format!("table applies change {f} of {i}"),
            |s| {
                let flight = s.daemons[i].in_flight[f].clone();
                let unchecked = self.fault == Fault::RenewalUnchecked && flight.renewal.is_some();
                let done = s.table.apply(&flight.change, unchecked);
                if done && flight.renewal.is_some() && !s.daemons[i].stopped {
                    s.daemons[i].in_flight[f].applied = true;
                } else {
                    s.daemons[i].in_flight.remove(f);
                }
            },
        );
    }

    /// Delivers a read and sends the changes that follow from it.
    fn finish_read(&self, s: &mut State, i: usize) {
        let now = self.now(s.tick);
        let observed_at = if self.fault == Fault::WatchStartsEarly {
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
            d.ownership.receive_levels(SLICE, at, levels);
        }
        if self.fault == Fault::SuccessorStartsFull && epoch > 1 {
            d.ownership
                .receive_levels(SLICE, epoch, BucketLevels::full());
        }
        observe(&mut d.ownership, &table, observed_at, now);
        if d.ownership.has_ended() {
            let old = d.ownership.session().clone();
            d.sessions += 1;
            let id = SessionId::new(old.host(), u64::from(d.sessions));
            d.ownership.begin_session(id);
            let version = table.session_version(&old);
            self.send(d, OwnershipState::session_removal(&old, version));
        }
        let host = Candidate {
            host: "nobody",
            data_centre: "hobart",
        };
        for change in d.ownership.pending_changes(&[SLICE], &[host], now) {
            self.send(d, change);
        }
    }

    fn send(&self, d: &mut Daemon, change: LeaseChange) {
        let change = match change {
            LeaseChange::Slice(mut change) if self.fault == Fault::TakesWholeSlice => {
                change.row.portions = vec![chervillug::lease::Portion::WHOLE];
                LeaseChange::Slice(change)
            }
            change => change,
        };
        if d.in_flight.len() < 3 && d.in_flight.iter().all(|f| f.change != change) {
            d.in_flight.push(InFlight {
                change,
                renewal: None,
                applied: false,
            });
        }
    }

    fn drain(&self, ownership: &mut OwnershipState, now: BootTime) -> u32 {
        let workspace = Rc::from(WORKSPACE);
        let mut count = 0;
        while let TakeOutcome::Granted(_) = ownership.take(SLICE, &workspace, &self.plan, now) {
            count += 1;
        }
        count
    }

    fn shut_down(&self, s: &mut State, now: BootTime) {
        let successor_session = s.daemons[1].ownership.session().clone();
        let successor = Candidate {
            host: "entry-1",
            data_centre: "hobart",
        };
        let d = &mut s.daemons[0];
        let session = d.ownership.session().clone();
        let version = d.ownership.own_version();
        let released = d
            .ownership
            .release_all(&[(successor, successor_session)], now);
        d.stopped = true;
        d.read = None;
        for (change, mut levels) in released {
            if self.fault == Fault::HandsOverFullBuckets {
                levels = BucketLevels::full();
            }
            let epoch = change.row.epoch;
            self.send(&mut s.daemons[0], LeaseChange::Slice(change));
            s.daemons[1].levels = Some((epoch, levels));
        }
        let removal = OwnershipState::session_removal(&session, version);
        self.send(&mut s.daemons[0], removal);
    }

    /// Returns the property that `state` violates, if any.
    pub(crate) fn violated_property(&self, state: &State) -> Option<&'static str> {
        let split = PlanSplit::new(&self.plan);
        let whole = split.bucket_limits(0, &[chervillug::lease::Portion::WHOLE]);
        let whole = whole.expect("a bucket");
        for (i, (from, _)) in state.drains.iter().enumerate() {
            let mut sum = 0;
            for (to, count) in &state.drains[i..] {
                sum += count;
                let time = f64::from(to - from) * TICK.as_secs_f64();
                if f64::from(sum) > whole.burst + whole.rate_per_s * time + 1e-6 {
                    return Some("admitted requests stay within the plan");
                }
            }
        }
        let now = self.now(state.tick);
        let usable = state
            .daemons
            .iter()
            .flat_map(|d| d.ownership.usable_portions(SLICE, now));
        let parts: u32 = usable.map(|p| p.to - p.from).sum();
        (parts > PARTS_PER_SLICE).then_some("usable portions fit in the slice")
    }
}

fn observe(ownership: &mut OwnershipState, table: &Table, observed_at: BootTime, now: BootTime) {
    let sessions: Vec<_> = table
        .sessions
        .iter()
        .map(|(id, r)| (id.clone(), r.clone()))
        .collect();
    ownership.observe_sessions(&sessions, observed_at);
    let slices = table.slice.iter().map(|r| (SLICE, r.clone())).collect();
    ownership.observe_slices(slices, now);
}
