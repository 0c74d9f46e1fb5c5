//! One priority queue in front of all slots that knows all requests of the fleet.

use std::collections::VecDeque;

use super::fleet::{RANKS, SLOTS, TARGETS, WINDOW_MS, WORK_MS};
use super::outcomes::Arrival;

/// Share of the mean served share that every rank keeps.
const FLOOR_RATIO: f64 = 0.25;
/// Longest wait of a request, ms, after which it is rejected. It is the wait that the fleet allows
/// at its targets; a longer one would count slots after the window for requests within it.
const MAX_WAIT_MS: u64 = 250;

/// Returns the number of requests of each rank that are answered within the window.
pub(super) fn goodput(arrivals: &[Arrival]) -> [u64; RANKS] {
    let mut waiting: [VecDeque<u64>; RANKS] = Default::default();
    let mut arrived = [0u64; RANKS];
    let mut served = [0u64; RANKS];
    let mut answered = [0u64; RANKS];
    let mut ends: VecDeque<u64> = VecDeque::new();
    let mut next = arrivals.iter().peekable();
    let end = arrivals.last().map_or(0, |a| a.at_ms) + 1;
    for now in 0..end {
        while let Some(arrival) = next.next_if(|a| a.at_ms <= now) {
            waiting[arrival.rank].push_back(now);
            if WINDOW_MS.contains(&now) {
                arrived[arrival.rank] += 1;
            }
        }
        while ends.front().is_some_and(|e| *e <= now) {
            ends.pop_front();
        }
        for queue in &mut waiting {
            while queue.front().is_some_and(|at| at + MAX_WAIT_MS < now) {
                queue.pop_front();
            }
        }
        while ends.len() < TARGETS * SLOTS as usize {
            let Some(rank) = choose(&waiting, &arrived, &served) else {
                break;
            };
            let arrived_at = waiting[rank].pop_front().unwrap_or(now);
            ends.push_back(now + WORK_MS);
            if WINDOW_MS.contains(&now) {
                served[rank] += 1;
            }
            if WINDOW_MS.contains(&arrived_at) {
                answered[rank] += 1;
            }
        }
    }
    answered
}

/// Returns the least urgent rank that is owed its floor, or else the most urgent one.
fn choose(
    waiting: &[VecDeque<u64>; RANKS],
    arrived: &[u64; RANKS],
    served: &[u64; RANKS],
) -> Option<usize> {
    let all_share = share(served.iter().sum(), arrived.iter().sum());
    let is_owed = |rank: &usize| share(served[*rank], arrived[*rank]) < FLOOR_RATIO * all_share;
    let waits = |rank: &usize| !waiting[*rank].is_empty();
    let owed = (0..RANKS).rev().filter(waits).find(is_owed);
    owed.or_else(|| (0..RANKS).find(waits))
}

fn share(served: u64, arrived: u64) -> f64 {
    if arrived == 0 {
        return 1.0;
    }
    served as f64 / arrived as f64
}
