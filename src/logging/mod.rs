//! Rate-limited, non-blocking logging in JSON lines.

mod nonblocking_writer;
mod panic_hook;
mod rate_limiter;

use std::{cell::RefCell, io::Write, time::SystemTime};

use env_logger::{Builder, Env, Target};
use log::{
    kv::{Error, Key, Value, VisitSource},
    Record,
};
use rustc_hash::FxHashMap;
use serde::Serialize;
use serde_json::Map;

use crate::clock::{Clock, SystemClock};

use nonblocking_writer::NonblockingWriter;
pub use rate_limiter::LogRateLimiter;

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    level: &'a str,
    module: &'a str,
    host: &'a str,
    message: String,
    /// Number of lines of this kind that were suppressed since the last written one.
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    #[serde(flatten)]
    fields: Map<String, serde_json::Value>,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Key of the rate limit: module and message text of a line. The text is empty if the message has
/// format arguments, so that all such lines of a module share one limit.
type LineKind = (&'static str, &'static str);

thread_local! {
    static RATE_LIMITERS: RefCell<FxHashMap<LineKind, LogRateLimiter>> = RefCell::default();
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

/// Initializes logging to standard output, panics included; the environment variable `RUST_LOG` sets
/// the level.
pub fn init(host: &str) {
    let host = host.to_owned();
    let res = Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(NonblockingWriter::default())))
        .format(move |f, record| {
            let Some(left_out) = check_rate_limit(record) else {
                return Ok(());
            };
            let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let mut fields = Fields::default();
            if let Err(e) = record.key_values().visit(&mut fields) {
                fields
                    .0
                    .insert("fields_lost".to_owned(), e.to_string().into());
            }
            let line = Line {
                at_ms: since_epoch.map_or(0, |d| d.as_millis() as u64),
                level: record.level().as_str(),
                module: record.module_path().unwrap_or(""),
                host: &host,
                message: record.args().to_string(),
                left_out,
                fields: fields.0,
            };
            let text = serde_json::to_string(&line)?;
            writeln!(f, "{text}")
        })
        .try_init();
    if let Err(e) = res {
        eprintln!("cannot initialize logging: {e}");
    }
    panic_hook::install();
}

fn check_rate_limit(record: &Record<'_>) -> Option<u64> {
    let module = record.module_path_static().unwrap_or("");
    let text = record.args().as_str().unwrap_or("");
    let now = SystemClock.now();
    RATE_LIMITERS.with_borrow_mut(|limiters| {
        let limiter = limiters.entry((module, text));
        limiter
            .or_insert_with(|| LogRateLimiter::new(now))
            .try_take(now)
    })
}
