//! The subcommands.

mod edit;
mod operator_client;
mod print;
mod serve;

use argh::FromArgs;

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
    match &cli.command {
        Command::Serve(args) => serve::serve(args),
        Command::Check(args) => serve::check(args),
        Command::Plan(args) => edit::plan(&args.command),
        Command::Access(args) => edit::access(&args.command),
        Command::Key(args) => edit::key(&args.command),
        Command::Status(args) => edit::status(args),
    }
}
