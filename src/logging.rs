//! Logs as JSON lines.

use std::{io::Write, time::SystemTime};

use env_logger::{Builder, Env, Target};
use log::kv::{Error, Key, Value, VisitSource};
use serde::Serialize;
use serde_json::Map;

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    level: &'a str,
    module: &'a str,
    host: &'a str,
    message: String,
    #[serde(flatten)]
    fields: Map<String, serde_json::Value>,
}

/// Collects the fields of a log record.
#[derive(Default)]
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(n), _) => n.into(),
            (_, Some(b)) => b.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Starts logging to standard output; the environment variable `RUST_LOG` sets the level.
pub fn start(host: &str) {
    let host = host.to_owned();
    let _ = Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Stdout)
        .format(move |f, record| {
            let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let mut fields = Fields::default();
            let _ = record.key_values().visit(&mut fields);
            let line = Line {
                at_ms: since_epoch.map_or(0, |d| d.as_millis() as u64),
                level: record.level().as_str(),
                module: record.module_path().unwrap_or(""),
                host: &host,
                message: record.args().to_string(),
                fields: fields.0,
            };
            let text = serde_json::to_string(&line).unwrap_or_default();
            writeln!(f, "{text}")
        })
        .try_init();
}
