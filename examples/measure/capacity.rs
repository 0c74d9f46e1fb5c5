//! Memory use and operation times of one daemon's state at the design size.

use std::{
    hint, io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use chervillug::{
    catalog::{Catalog, Change, Edit, EditId, KeyHasher, Plan, Route, RouteLookup},
    clock::BootTime,
    health::{Balancer, PickRequest, Profile, SequentialDetector},
    store::ListedHost,
};
use serde_json::json;

use crate::{figure::Report, RunOptions, ALLOCATOR};

const WORKSPACES: usize = 540_000;
const ROUTES: usize = 25_000;
const PLANS: usize = 50;
const TARGETS: usize = 120_000;
const SERVICES: usize = 4_200;
/// Repetitions of each timed operation.
const REPETITIONS: usize = 200_000;
const FLOOR: f64 = 0.7;

/// Measures memory per workspace, key, route and target, and the time of lookups, edits and picks.
pub(crate) fn capacity(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let hasher = KeyHasher::new("capacity-key-secret");
    let mut catalog = Catalog::default();
    let workspaces = (0..WORKSPACES).map(set_plan_change);
    load_changes(&mut catalog, report, "workspace", WORKSPACES, workspaces);
    let keys = (0..WORKSPACES).map(|i| give_key_change(&hasher, i));
    load_changes(&mut catalog, report, "key", WORKSPACES, keys);
    load_changes(
        &mut catalog,
        report,
        "route",
        ROUTES,
        (0..PLANS).map(set_access_change),
    );
    catalog.advance_to(1);
    measure_lookups(&catalog, &hasher, opts, report)?;
    measure_edits(&mut catalog, report)?;
    measure_targets(opts, report)
}

fn load_changes(
    catalog: &mut Catalog,
    report: &mut Report,
    kind: &str,
    count: usize,
    changes: impl Iterator<Item = Change>,
) {
    let before = live_bytes();
    let begin = Instant::now();
    for change in changes {
        catalog.apply_change(&change);
    }
    let bytes_each = (live_bytes() - before) / count as f64;
    let fields = json!({"of": kind, "count": count});
    report.figure("state_bytes_each", bytes_each, "bytes", &fields);
    report.figure("load_s", begin.elapsed().as_secs_f64(), "s", &fields);
}

fn set_plan_change(i: usize) -> Change {
    Change::SetPlan {
        workspace: format!("workspace-{i}"),
        plan: Plan {
            plan: format!("plan-{}", i % PLANS),
            rate_per_s: 5.0,
            burst: 10,
        },
    }
}

fn give_key_change(hasher: &KeyHasher, i: usize) -> Change {
    Change::GiveKey {
        hash: hasher.hash(key_string(i).as_bytes()),
        workspace: format!("workspace-{i}"),
    }
}

fn key_string(i: usize) -> String {
    format!("ck_{i:048x}")
}

fn set_access_change(plan: usize) -> Change {
    let routes = (0..ROUTES / PLANS).map(|i| Route {
        service: format!("service-{}", (plan * 97 + i) % SERVICES),
        prefix: format!("/plan-{plan}/area-{}/route-{i}", i % 10),
        repeatable: None,
    });
    Change::SetAccess {
        plan: format!("plan-{plan}"),
        routes: routes.collect(),
    }
}

fn measure_lookups(
    catalog: &Catalog,
    hasher: &KeyHasher,
    opts: &RunOptions,
    report: &mut Report,
) -> io::Result<()> {
    let mut random = fastrand::Rng::with_seed(opts.seed);
    let lookups: Vec<(String, String)> = (0..REPETITIONS)
        .map(|_| {
            let i = random.usize(0..WORKSPACES);
            let route = random.usize(0..ROUTES / PLANS);
            let path = format!("/plan-{}/area-{}/route-{route}/item", i % PLANS, route % 10);
            (key_string(i), path)
        })
        .collect();
    let begin = Instant::now();
    for (key, path) in &lookups {
        let hash = hasher.hash(key.as_bytes());
        let found = catalog
            .workspace_of(&hash)
            .and_then(|w| catalog.plan_of(w))
            .map(|plan| catalog.find_route(&plan.plan, path));
        if !matches!(found, Some(RouteLookup::Open(_))) {
            return Err(io::Error::other("lookup found no key or no open route"));
        }
    }
    report_time_each(report, "lookup_us", begin.elapsed(), lookups.len());
    Ok(())
}

fn measure_edits(catalog: &mut Catalog, report: &mut Report) -> io::Result<()> {
    let count = 10_000;
    let begin = Instant::now();
    for i in 0..count {
        let edit = Edit {
            revision: catalog.revision() + 1,
            id: EditId([0; 16]),
            changes: vec![set_plan_change(i)],
        };
        if !catalog.apply(&edit) {
            return Err(io::Error::other(format!("edit {i} was not applied")));
        }
    }
    report_time_each(report, "edit_apply_us", begin.elapsed(), count);
    Ok(())
}

fn measure_targets(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let hosts: Vec<ListedHost> = (0..TARGETS).map(listed_target).collect();
    let before = live_bytes();
    let detector = SequentialDetector::new(Profile::default().options());
    let mut balancer = Balancer::new(Box::new(detector), FLOOR, opts.seed);
    let now = BootTime::from_duration(Duration::from_secs(1));
    let begin = Instant::now();
    balancer.set_targets(&hosts, now);
    let fields = json!({"of": "target", "count": TARGETS});
    report.figure("load_s", begin.elapsed().as_secs_f64(), "s", &fields);
    let bytes_each = (live_bytes() - before) / TARGETS as f64;
    report.figure("state_bytes_each", bytes_each, "bytes", &fields);
    let begin = Instant::now();
    balancer.set_targets(&hosts, now);
    report.figure(
        "list_refresh_s",
        begin.elapsed().as_secs_f64(),
        "s",
        &fields,
    );

    let mut random = fastrand::Rng::with_seed(opts.seed);
    let services: Vec<String> = (0..REPETITIONS)
        .map(|_| format!("service-{}", random.usize(0..SERVICES)))
        .collect();
    let begin = Instant::now();
    for service in &services {
        let req = PickRequest {
            service,
            avoid: &[],
            repeatable: true,
        };
        let choice = hint::black_box(balancer.pick(&req, now));
        let choice = choice.map_err(|_| io::Error::other("no target available to pick"))?;
        balancer.release(choice.id, choice.attempt);
    }
    report_time_each(report, "pick_us", begin.elapsed(), services.len());
    Ok(())
}

fn listed_target(i: usize) -> ListedHost {
    ListedHost {
        name: format!("target-{i}"),
        data_centre: format!("data-centre-{}", i % 12),
        address: SocketAddr::from(([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 80)),
        service: Some(format!("service-{}", i % SERVICES)),
        slots: 4,
        leaving: false,
        cold: false,
        born: None,
    }
}

fn report_time_each(report: &mut Report, name: &str, total: Duration, count: usize) {
    let each_us = total.as_secs_f64() * 1e6 / count as f64;
    report.figure(name, each_us, "us", &json!({}));
}

fn live_bytes() -> f64 {
    ALLOCATOR.live_bytes() as f64
}
