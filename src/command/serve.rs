//! The subcommands `serve`, `front` and `check`.

use crate::{
    cli::{CheckArgs, FrontArgs, ServeArgs},
    config,
    daemon::{self, DaemonError},
    exit_code::ExitCode,
    logging, platform,
};

/// Runs a daemon until it receives a termination signal.
pub(super) fn serve(args: &ServeArgs) -> ExitCode {
    let settings = match config::load(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::Settings;
        }
    };
    logging::init(&settings.host);
    exit_code(daemon::run_native(settings))
}

/// Runs an entry daemon on the users' platform until it receives a termination signal.
pub(super) fn front(args: &FrontArgs) -> ExitCode {
    let Some(path) = args.settings.clone().or_else(platform::settings_path) else {
        eprintln!("no settings file: pass --settings FILE");
        return ExitCode::Usage;
    };
    let settings = match config::load_front(&path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::Settings;
        }
    };
    logging::init(&settings.host);
    exit_code(daemon::run_front(settings, path))
}

fn exit_code(res: Result<(), DaemonError>) -> ExitCode {
    match res {
        Ok(()) => ExitCode::Success,
        Err(DaemonError::Bind { address, kind }) => {
            log::error!("cannot bind {address}: {kind}");
            ExitCode::Bind
        }
        Err(DaemonError::Io(kind)) => {
            log::error!("daemon failed: {kind}");
            ExitCode::Failure
        }
    }
}

/// Validates a settings file.
pub(super) fn check(args: &CheckArgs) -> ExitCode {
    match config::load(&args.settings) {
        Ok(settings) => {
            println!("{}: valid, host {}", args.settings.display(), settings.host);
            ExitCode::Success
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::Settings
        }
    }
}
