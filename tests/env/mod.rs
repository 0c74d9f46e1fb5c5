//! Shared environment of the tests that run the program.

#![allow(dead_code)]

use std::{
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use standins::{Cluster, ClusterOptions, DaemonCommand};

/// Returns the command that starts the program under test.
pub(crate) fn command() -> DaemonCommand {
    DaemonCommand {
        program: PathBuf::from(env!("CARGO_BIN_EXE_chervillug")),
        leading_args: Vec::new(),
    }
}

/// Returns the options of a small fleet with default settings.
pub(crate) fn options() -> ClusterOptions {
    ClusterOptions::new(command())
}

/// Starts a fleet.
pub(crate) fn start(opts: ClusterOptions) -> Cluster {
    Cluster::start(opts).expect("the fleet starts")
}

/// Polls `done` until it returns true, and returns whether it did so within `limit`.
pub(crate) fn eventually(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    done()
}

/// Adds a workspace, waits until every daemon accepts its key, and returns the key.
pub(crate) fn add_workspace(cluster: &Cluster, name: &str, rate: f64, burst: u32) -> String {
    let key = cluster
        .add_workspace(name, rate, burst)
        .expect("edits were not accepted");
    let path = format!("/{}", cluster.targets[0].options().service);
    for i in 0..cluster.daemons.len() {
        let served = eventually(Duration::from_secs(5), || {
            cluster
                .request(i, &key, "OPTIONS", &path)
                .is_ok_and(|r| r.status == 200)
        });
        assert!(
            served,
            "daemon {i} does not accept the key of workspace {name}"
        );
    }
    key
}
