//! Benchmarks of the daemon; each prints one JSON line per figure.
//!
//! `cargo run --release --example measure -- path --seed 1`

mod capacity;
mod counting_allocator;
mod edit;
mod figure;
mod fleet;
mod gray;
mod gray_fleet;
mod gray_scenario;
mod outcomes;
mod path;
mod peer;
mod rate;

use std::{io, process::ExitCode};

use argh::FromArgs;

use crate::{counting_allocator::CountingAllocator, figure::Report};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator::new();

/// Runs one benchmark case.
#[derive(FromArgs)]
struct Args {
    /// case: path, peer, rate, edit, outage, outcomes, silent, poison, gray, flap, noise, neighbour,
    /// overload or capacity
    #[argh(positional)]
    case: String,
    /// seed of the random number generators
    #[argh(option, default = "1")]
    seed: u64,
    /// time budget of the case, s
    #[argh(option, default = "50")]
    seconds: u64,
}

/// Options of a benchmark run.
pub(crate) struct RunOptions {
    /// Seed of the random number generators.
    pub(crate) seed: u64,
    /// Time budget of the case, s.
    pub(crate) seconds: u64,
}

type CaseFn = fn(&RunOptions, &mut Report) -> io::Result<()>;

const CASES: &[(&str, CaseFn)] = &[
    ("path", path::path),
    ("peer", peer::peer),
    ("rate", rate::rate),
    ("edit", edit::edit),
    ("outage", rate::outage),
    ("outcomes", outcomes::outcomes),
    ("silent", outcomes::silent),
    ("poison", outcomes::poison),
    ("gray", gray::gray),
    ("flap", gray::flap),
    ("noise", gray::noise),
    ("neighbour", gray::neighbour),
    ("overload", gray::overload),
    ("capacity", capacity::capacity),
];

/// Exit code for an unknown case, or one that ended with an error.
const EXIT_FAILED: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    if args.get(1) == Some(&"daemon") {
        return chervillug::run(&args[1..]).into();
    }
    let args: Args = argh::from_env();
    let Some((name, case)) = CASES.iter().find(|(name, _)| *name == args.case) else {
        eprintln!("unknown case {}; see --help", args.case);
        return ExitCode::from(EXIT_FAILED);
    };
    let opts = RunOptions {
        seed: args.seed,
        seconds: args.seconds,
    };
    let mut report = Report::new(name, args.seed);
    match case(&opts, &mut report) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{name}: {e}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
