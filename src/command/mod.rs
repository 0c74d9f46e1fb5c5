//! The subcommands.

mod edit;
mod explain;
mod operator_client;
mod print;
mod serve;

use argh::FromArgs;

use self::edit::OperatorCall;
use crate::{
    cli::{Cli, Command},
    exit_code::ExitCode,
};

/// Runs the program with `args`, the program's name first.
pub fn run(args: &[&str]) -> ExitCode {
    let (name, rest) = args.split_first().unwrap_or((&"chervillug", &[]));
    let cli = match Cli::from_args(&[name], rest) {
        Ok(cli) => cli,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return ExitCode::Success;
        }
        Err(early) => {
            eprintln!("{}\nRun '{name} --help' for the commands.", early.output);
            return ExitCode::Usage;
        }
    };
    match run_command(&cli) {
        Ok(code) | Err(code) => code,
    }
}

fn run_command(cli: &Cli) -> Result<ExitCode, ExitCode> {
    let code = match &cli.command {
        Command::Serve(args) => serve::serve(args),
        Command::Front(args) => serve::front(args),
        Command::Explain(args) => explain::explain(args),
        Command::Check(args) => serve::check(args),
        Command::Plan(args) => OperatorCall::new(cli)?.plan(&args.command),
        Command::Access(args) => OperatorCall::new(cli)?.access(&args.command),
        Command::Key(args) => OperatorCall::new(cli)?.key(&args.command),
        Command::Status(_) => OperatorCall::new(cli)?.status(),
    };
    Ok(code)
}
