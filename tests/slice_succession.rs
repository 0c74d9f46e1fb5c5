//! The order in which daemons watch the lease of a slice whose holder may have failed.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    quota::{Succession, SuccessionRank, LEASE_TERM},
};

/// Operator's limit on the time until requests are served again after the loss of hosts.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Time of a recovery that is spent before a request fails and after a lease has expired.
const RECOVERY_OVERHEAD: Duration = Duration::from_secs(3);

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(ms))
}

/// Returns after how many milliseconds a daemon watches the lease of a slice without a holder.
fn turn_ms(rank: SuccessionRank) -> Option<u64> {
    let mut succession = Succession::default();
    (0..60_000)
        .step_by(100)
        .find(|ms| succession.update(true, rank, at(1000 + ms)))
}

/// Guards against slices that stay without a holder for good once the daemons ranked first have
/// been removed, whose rows stay in the store.
#[test]
fn every_daemon_takes_its_turn_within_the_recovery_time() {
    for daemons in [1, 2, 3, 4, 16, 88, 2200] {
        let mut turns = Vec::new();
        for ahead in 0..daemons {
            let turn = turn_ms(SuccessionRank { ahead, daemons });
            turns.push(turn.unwrap_or_else(|| panic!("rank {ahead} of {daemons} never watches")));
        }
        let latest = Duration::from_millis(*turns.iter().max().expect("no daemon"));
        let recovered = latest + LEASE_TERM + RECOVERY_OVERHEAD;
        assert!(
            recovered < RECOVERY_LIMIT,
            "{daemons} daemons: {recovered:?}"
        );
        assert!(turns.is_sorted(), "{turns:?}");
        let at_once = turns.iter().filter(|ms| **ms == 0).count();
        assert_eq!(at_once, daemons.min(2), "{daemons} daemons");
    }
}

#[test]
fn turn_starts_anew_when_the_holder_answers() {
    struct Case {
        /// Whether the slice may lack a holder, and the time in milliseconds.
        updates: &'static [(bool, u64)],
        due: bool,
    }
    let cases = [
        Case {
            updates: &[(true, 1000)],
            due: false,
        },
        Case {
            updates: &[(true, 1000), (true, 4500)],
            due: true,
        },
        Case {
            updates: &[(true, 1000), (false, 1500), (true, 4500)],
            due: false,
        },
        Case {
            updates: &[(true, 1000), (true, 4500), (false, 4600)],
            due: false,
        },
    ];
    let rank = SuccessionRank {
        ahead: 2,
        daemons: 3,
    };
    for (i, case) in cases.iter().enumerate() {
        let mut succession = Succession::default();
        for (lacks_holder, ms) in case.updates {
            succession.update(*lacks_holder, rank, at(*ms));
        }
        assert_eq!(succession.is_due(), case.due, "{i}");
    }
}

#[test]
fn ranks_of_a_data_centre_are_distinct() {
    let hosts: Vec<String> = (0..50).map(|i| format!("host-{i}")).collect();
    let rank_of = |own: &String| {
        let others = hosts.iter().filter(|h| *h != own);
        SuccessionRank::new(own, others.map(String::as_str))
    };
    let mut ranks: Vec<usize> = hosts.iter().map(|h| rank_of(h).ahead).collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..50).collect::<Vec<_>>());
    assert!(hosts.iter().all(|h| rank_of(h).daemons == 50));
}
