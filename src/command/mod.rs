//! Implementation of the subcommands.

mod explain;
mod operator;
mod operator_client;
mod print;
mod serve;

use argh::FromArgs;

use self::operator::OperatorCommand;
use crate::{
    cli::{Cli, Command},
    exit_code::ExitCode,
};

/// Runs the program with `args`, of which the first one is the program name.
pub fn run(args: &[&str]) -> ExitCode {
    let (name, rest) = args.split_first().unwrap_or((&"chervillug", &[]));
    let cli = match Cli::from_args(&[name], rest) {
        Ok(cli) => cli,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::Success;
        }
        Err(exit) => {
            eprintln!("{}\nRun '{name} --help' for usage.", exit.output);
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
        Command::Plan(args) => OperatorCommand::new(cli)?.plan(&args.command),
        Command::Access(args) => OperatorCommand::new(cli)?.access(&args.command),
        Command::Key(args) => OperatorCommand::new(cli)?.key(&args.command),
        Command::Status(_) => OperatorCommand::new(cli)?.status(),
    };
    Ok(code)
}
