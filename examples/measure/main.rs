//! Measurements, one JSON line per figure.
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

/// Runs one case of measurements.
#[derive(FromArgs)]
struct Args {
    /// case: path, peer, rate, edit, outage, outcomes, silent, poison, gray, flap, noise, neighbour,
    /// overload or capacity
    #[argh(positional)]
    case: String,
    /// seed of all random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// time that the case may take
    #[argh(option, default = "50")]
    seconds: u64,
}

/// Options of one run.
pub(crate) struct RunOptions {
    /// Seed of all random choices.
    pub(crate) seed: u64,
    /// Time that the case may take, s.
    pub(crate) seconds: u64,
}

type Case = fn(&RunOptions, &mut Report) -> io::Result<()>;

const CASES: &[(&str, Case)] = &[
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

/// Exit code of a case that could not run.
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    if args.get(1) == Some(&"daemon") {
        return chervillug::run(&args[1..]).into();
    }
    let args: Args = argh::from_env();
    let Some((name, case)) = CASES.iter().find(|(name, _)| *name == args.case) else {
        eprintln!("no case {}; see --help", args.case);
        return ExitCode::from(COULD_NOT_RUN);
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
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
