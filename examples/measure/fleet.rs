//! Fleets for measurements.

use std::io;

use standins::{ClusterOptions, DaemonCommand};

/// Returns the shape of a small fleet whose daemons are this program.
pub(crate) fn options() -> io::Result<ClusterOptions> {
    let command = DaemonCommand {
        program: std::env::current_exe()?,
        leading_args: vec!["daemon".to_owned()],
    };
    Ok(ClusterOptions::new(command))
}
