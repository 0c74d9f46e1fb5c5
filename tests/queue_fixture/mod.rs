//! A service of equal targets for tests of the queue.

use std::{rc::Rc, time::Duration};

use chervillug::{
    clock::BootTime,
    health::{Balancer, Profile, ScheduleRequest, SequentialDetector},
    store::ListedHost,
};

/// Targets of the service, of two slots each.
pub(super) const TARGETS: usize = 10;
pub(super) const SLOTS: u32 = 2;

pub(super) fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(100_000 + ms))
}

pub(super) fn balancer() -> Balancer {
    let target = |i: usize| ListedHost {
        name: format!("t{i}"),
        data_centre: "a".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        service: Some("one".to_owned()),
        slots: SLOTS,
        leaving: false,
        cold: false,
        born: None,
    };
    let hosts: Vec<ListedHost> = (0..TARGETS).map(target).collect();
    let options = Profile::FewFalseEjections.options();
    let mut balancer = Balancer::new(Box::new(SequentialDetector::new(options)), 0.7, 7);
    balancer.set_targets(&hosts, at(0));
    balancer
}

pub(super) fn schedule_request(workspace: &str, rank: u32, deadline_ms: u64) -> ScheduleRequest {
    ScheduleRequest {
        service: Rc::from("one"),
        workspace: Rc::from(workspace),
        rate_per_s: 10.0,
        rank,
        resent_early: false,
        repeatable: true,
        deadline: at(deadline_ms),
        avoid: Vec::new(),
    }
}
