//! A balancer of targets in two data centres, for tests.

use std::time::Duration;

use chervillug::{
    clock::BootTime,
    health::{Balancer, Profile, SequentialDetector},
    store::ListedHost,
};

/// Returns the time `ms` after the start of a test.
pub(crate) fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
}

/// Returns targets of the service `one`, alternating between the data centres `a` and `b`.
pub(crate) fn hosts(n: usize) -> Vec<ListedHost> {
    let host = |i: usize| ListedHost {
        name: format!("t{i}"),
        data_centre: if i % 2 == 0 { "a" } else { "b" }.to_owned(),
        address: format!("127.0.0.1:{}", 1000 + i)
            .parse()
            .expect("an address"),
        service: Some("one".to_owned()),
        slots: 2,
        leaving: false,
        cold: false,
        born: None,
    };
    (0..n).map(host).collect()
}

/// Returns a balancer in the data centre `a` with that many targets.
pub(crate) fn balancer(targets: usize, seed: u64) -> Balancer {
    let options = Profile::FewFalseEjections.options();
    let detector = Box::new(SequentialDetector::new(options));
    let mut balancer = Balancer::new(detector, 0.7, seed).prefer_data_centre("a");
    balancer.set_targets(&hosts(targets), at(0));
    balancer
}
