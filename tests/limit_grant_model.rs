//! Exhaustive exploration of grants on their way between an owner and two entry hosts.

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

/// A deliberate fault of the model, which the property must catch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Entry hosts use grants at any time.
    NoLife,
    /// The life counts from the answer in place of the ask.
    LifeFromAnswer,
    /// The owner's bucket does not pay for the life.
    LifeUnpaid,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Entry {
    Idle,
    Asked { at: u32 },
    Answered { asked: u32, answered: u32 },
    Holds { since: u32 },
}

/// The owner's state follows from when it granted, so that those ticks stand for it.
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
    uses: usize,
    fault: Fault,
}

impl Model {
    fn now(tick: u32) -> BootTime {
        BootTime::default() + TICK * tick
    }

    /// Takes one token, from the first slice that has one, after those of `granted` were taken.
    fn take(&self, granted: &[u32], tick: u32) -> Option<Grant> {
        let mut plan = self.plan.clone();
        if self.fault == Fault::LifeUnpaid {
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
        let held = Grant::from_request(grant.lifetime, Self::now(since));
        self.fault == Fault::NoLife || held.is_valid(Self::now(tick))
    }

    fn successors(&self, s: &State) -> Vec<State> {
        let mut all = Vec::new();
        if s.tick < self.ticks {
            all.push(State {
                tick: s.tick + 1,
                ..s.clone()
            });
        }
        for i in 0..ENTRY_HOSTS {
            all.extend(self.entry_event(s, i));
        }
        all
    }

    fn entry_event(&self, s: &State, i: usize) -> Option<State> {
        let mut next = s.clone();
        let grant = self.take(&[], 0)?;
        next.entries[i] = match s.entries[i] {
            Entry::Idle => Entry::Asked { at: s.tick },
            Entry::Asked { at } => {
                self.take(&s.granted, s.tick)?;
                next.granted.push(s.tick);
                Entry::Answered {
                    asked: at,
                    answered: s.tick,
                }
            }
            Entry::Answered { asked, answered } => Entry::Holds {
                since: if self.fault == Fault::LifeFromAnswer {
                    answered.max(s.tick)
                } else {
                    asked
                },
            },
            Entry::Holds { since } if !self.may_use(&grant, since, s.tick) => Entry::Idle,
            Entry::Holds { .. } => {
                next.used.push(s.tick);
                Entry::Idle
            }
        };
        (next.used.len() <= self.uses).then_some(next)
    }

    fn is_over(&self, s: &State) -> bool {
        let burst = f64::from(self.plan.burst);
        s.used.iter().enumerate().any(|(i, from)| {
            s.used[i..].iter().enumerate().any(|(n, to)| {
                let time = (TICK * (to - from)).as_secs_f64();
                (n + 1) as f64 > burst + self.plan.rate_per_s * time + 1e-6
            })
        })
    }

    /// Returns the count of states, and the first one that is over the plan.
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
            if self.is_over(&state) {
                return (states, Some(state));
            }
        }
        (states, None)
    }
}

#[test]
fn uses_stay_within_the_plan() {
    struct Case {
        rate_per_s: f64,
        burst: u32,
        ticks: u32,
        fault: Fault,
        caught: bool,
    }
    let case = |rate_per_s, burst, ticks, fault, caught| Case {
        rate_per_s,
        burst,
        ticks,
        fault,
        caught,
    };
    let cases = [
        case(40.0, 1, 12, Fault::None, false),
        case(40.0, 2, 10, Fault::None, false),
        case(100.0, 3, 5, Fault::None, false),
        case(40.0, 2, 10, Fault::NoLife, true),
        case(40.0, 1, 10, Fault::NoLife, true),
        case(40.0, 2, 10, Fault::LifeFromAnswer, true),
        case(40.0, 2, 10, Fault::LifeUnpaid, true),
    ];
    for case in cases {
        let model = Model {
            plan: Plan {
                plan: "small".into(),
                rate_per_s: case.rate_per_s,
                burst: case.burst,
            },
            ticks: case.ticks,
            uses: 4,
            fault: case.fault,
        };
        let begin = std::time::Instant::now();
        let (states, over) = model.explore();
        println!(
            "rate {} burst {} {:?}: {states} states, {:?}, over: {over:?}",
            case.rate_per_s,
            case.burst,
            case.fault,
            begin.elapsed()
        );
        assert_eq!(over.is_some(), case.caught, "{:?}", case.fault);
    }
}
