//! Configuration of the fleets under measurement.

use std::io;

use standins::{ClusterOptions, DaemonCommand};

/// Returns options for a small fleet whose daemons run this executable.
pub(crate) fn options() -> io::Result<ClusterOptions> {
    let command = DaemonCommand {
        program: std::env::current_exe()?,
        leading_args: vec!["daemon".to_owned()],
    };
    Ok(ClusterOptions::new(command))
}
