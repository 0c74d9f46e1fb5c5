//! Exhaustive exploration of grants in transit between a slice owner and two entry hosts.

use std::{rc::Rc, time::Duration};

use chervillug::{
    catalog::Plan,
    clock::BootTime,
    lease::{LeasePhase, Portion, SliceId, SLICES_PER_PARTITION},
    limit::{BucketLevels, Grant, OwnedSlices, TakeOutcome},
};
use pathfinding::directed::bfs::bfs_reach;

const TICK: Duration = Duration::from_millis(5);
const ENTRY_HOSTS: usize = 2;

/// A deliberate fault of the model, which the exploration must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Entry hosts use grants after they expired.
    NoExpiry,
    /// The lifetime is counted from the response instead of the request.
    LifetimeFromResponse,
    /// The owner's bucket does not reserve tokens for the lifetime.
    LifetimeNotReserved,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Entry {
    Idle,
    Requested { at: u32 },
    Responded { requested: u32, responded: u32 },
    Holding { since: u32 },
}

/// The owner's state is a function of the ticks at which it granted tokens, so only those are
/// stored.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    tick: u32,
    granted: Vec<u32>,
    entries: [Entry; ENTRY_HOSTS],
    used: Vec<u32>,
}

struct Model {
    plan: Plan,
    ticks: u32,
    max_uses: usize,
    fault: Fault,
}

impl Model {
    fn now(tick: u32) -> BootTime {
        BootTime::default() + TICK * tick
    }

    /// Takes one token at `tick` from the first slice that has one, after the tokens of `granted`
    /// were taken.
    fn take(&self, granted: &[u32], tick: u32) -> Option<Grant> {
        let mut plan = self.plan.clone();
        if self.fault == Fault::LifetimeNotReserved {
            plan.burst += 1;
        }
        let workspace = Rc::from("parish");
        let mut owned = OwnedSlices::default();
        let slices = (0..SLICES_PER_PARTITION).map(|index| SliceId {
            partition: 0,
            index,
        });
        for slice in slices.clone() {
            owned.set_portions(slice, &[Portion::WHOLE], BucketLevels::full(), Self::now(0));
        }
        let mut take = |tick| {
            slices.clone().find_map(|slice| {
                let phase = LeasePhase::Full;
                match owned.take(slice, &workspace, &plan, phase, Self::now(tick)) {
                    TakeOutcome::Granted(grant) => Some(grant),
                    _ => None,
                }
            })
        };
        for at in granted {
            take(*at)?;
        }
        take(tick)
    }

    fn may_use(&self, grant: &Grant, since: u32, tick: u32) -> bool {
        let grant = Grant::from_request(grant.lifetime, Self::now(since));
        self.fault == Fault::NoExpiry || grant.is_valid(Self::now(tick))
    }

    fn successors(&self, s: &State) -> Vec<State> {
        let mut next_states = Vec::new();
        if s.tick < self.ticks {
            next_states.push(State {
                tick: s.tick + 1,
                ..s.clone()
            });
        }
        for i in 0..ENTRY_HOSTS {
            next_states.extend(self.entry_event(s, i));
        }
        next_states
    }

    fn entry_event(&self, s: &State, i: usize) -> Option<State> {
        let mut next = s.clone();
        let grant = self.take(&[], 0)?;
        next.entries[i] = match s.entries[i] {
            Entry::Idle => Entry::Requested { at: s.tick },
            Entry::Requested { at } => {
                self.take(&s.granted, s.tick)?;
                next.granted.push(s.tick);
                Entry::Responded {
                    requested: at,
                    responded: s.tick,
                }
            }
            Entry::Responded {
                requested,
                responded,
            } => Entry::Holding {
                since: if self.fault == Fault::LifetimeFromResponse {
                    responded.max(s.tick)
                } else {
                    requested
                },
            },
            Entry::Holding { since } if !self.may_use(&grant, since, s.tick) => Entry::Idle,
            Entry::Holding { .. } => {
                next.used.push(s.tick);
                Entry::Idle
            }
        };
        (next.used.len() <= self.max_uses).then_some(next)
    }

    fn exceeds_plan(&self, s: &State) -> bool {
        let burst = f64::from(self.plan.burst);
        s.used.iter().enumerate().any(|(i, from)| {
            s.used[i..].iter().enumerate().any(|(n, to)| {
                let time = (TICK * (to - from)).as_secs_f64();
                (n + 1) as f64 > burst + self.plan.rate_per_s * time + 1e-6
            })
        })
    }

    /// Returns the number of explored states and the first one that exceeds the plan.
    fn explore(&self) -> (usize, Option<State>) {
        let start = State {
            tick: 0,
            granted: Vec::new(),
            entries: [Entry::Idle; ENTRY_HOSTS],
            used: Vec::new(),
        };
        let mut states = 0;
        for state in bfs_reach(start, |s| self.successors(s)) {
            states += 1;
            if self.exceeds_plan(&state) {
                return (states, Some(state));
            }
        }
        (states, None)
    }
}

#[test]
fn used_grants_stay_within_the_plan() {
    struct Case {
        rate_per_s: f64,
        burst: u32,
        ticks: u32,
        fault: Fault,
        detected: bool,
    }
    let case = |rate_per_s, burst, ticks, fault, detected| Case {
        rate_per_s,
        burst,
        ticks,
        fault,
        detected,
    };
    let cases = [
        case(40.0, 1, 12, Fault::None, false),
        case(40.0, 2, 10, Fault::None, false),
        case(100.0, 3, 5, Fault::None, false),
        case(40.0, 2, 10, Fault::NoExpiry, true),
        case(40.0, 1, 10, Fault::NoExpiry, true),
        case(40.0, 2, 10, Fault::LifetimeFromResponse, true),
        case(40.0, 2, 10, Fault::LifetimeNotReserved, true),
    ];
    for case in cases {
        let model = Model {
            plan: Plan {
                plan: "small".into(),
                rate_per_s: case.rate_per_s,
                burst: case.burst,
            },
            ticks: case.ticks,
            max_uses: 4,
            fault: case.fault,
        };
        let started = std::time::Instant::now();
        let (states, violation) = model.explore();
        println!(
            "rate {} burst {} {:?}: {states} states, {:?}, violation: {violation:?}",
            case.rate_per_s,
            case.burst,
            case.fault,
            started.elapsed()
        );
        assert_eq!(violation.is_some(), case.detected, "{:?}", case.fault);
    }
}
