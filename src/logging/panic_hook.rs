//! Log lines of panics, each of which ends the process.

use std::{
    backtrace::Backtrace,
    panic::{self, PanicHookInfo},
};

/// Functions of this program that are named in a line, the innermost first.
const MAX_FUNCTIONS: usize = 6;
/// Beginning of the names of this program's functions, as a backtrace prints them.
const OWN_PREFIX: &str = "chervillug::";

/// Logs each panic, in addition to what the standard library prints.
pub(super) fn install() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log_panic(info);
        print(info);
    }));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let backtrace = Backtrace::force_capture().to_string();
    let functions = own_functions(&backtrace).join(" < ");
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    let payload = info.payload();
    let text = payload.downcast_ref::<String>().map(String::as_str);
    let reason = text.or_else(|| payload.downcast_ref::<&str>().copied());
    let reason = reason.unwrap_or_default();
    log::error!(place = &*place, functions = &*functions, reason = reason; "panicked");
}

/// Returns the functions of this program in a backtrace. The panic may have been raised by the
/// standard library, so that its place alone does not tell which of them caused it.
fn own_functions(backtrace: &str) -> Vec<&str> {
    let lines = backtrace.lines().filter_map(|line| line.split_once(": "));
    let names = lines.map(|(_, name)| name.trim());
    let is_own = |name: &&str| name.contains(OWN_PREFIX) && !name.contains("logging::panic_hook");
    names.filter(is_own).take(MAX_FUNCTIONS).collect()
}
