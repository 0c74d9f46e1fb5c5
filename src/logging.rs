//! Logs as JSON lines.

use std::{io::Write, time::SystemTime};

use env_logger::{Builder, Env};
use serde::Serialize;

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    level: &'a str,
    module: &'a str,
    host: &'a str,
    message: String,
}

/// Starts logging to standard error; the environment variable `RUST_LOG` sets the level.
pub fn start(host: &str) {
    let host = host.to_owned();
    let _ = Builder::from_env(Env::default().default_filter_or("info"))
        .format(move |f, record| {
            let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let line = Line {
                at_ms: since_epoch.map_or(0, |d| d.as_millis() as u64),
                level: record.level().as_str(),
                module: record.module_path().unwrap_or(""),
                host: &host,
                message: record.args().to_string(),
            };
            let text = serde_json::to_string(&line).unwrap_or_default();
            writeln!(f, "{text}")
        })
        .try_init();
}
