//! The subcommands `serve` and `check`.

use crate::{
    cli::{CheckArgs, ServeArgs},
    config,
    daemon::{self, DaemonError},
    exit_code::ExitCode,
    logging,
};

/// Runs a daemon until it is told to stop.
pub(super) fn serve(args: &ServeArgs) -> ExitCode {
    let settings = match config::load(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::Settings;
        }
    };
    logging::start(&settings.host);
    match daemon::run(settings) {
        Ok(()) => ExitCode::Success,
        Err(DaemonError::Bind { address, kind }) => {
            log::error!("cannot bind {address}: {kind}");
            ExitCode::Bind
        }
        Err(DaemonError::Io(kind)) => {
            log::error!("daemon: {kind}");
            ExitCode::Failure
        }
    }
}

/// Checks a settings file.
pub(super) fn check(args: &CheckArgs) -> ExitCode {
    match config::load(&args.settings) {
        Ok(settings) => {
            println!("{}: good, host {}", args.settings.display(), settings.host);
            ExitCode::Success
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::Settings
        }
    }
}
