//! Simulated services as separate processes.

use std::{io, net::SocketAddr, thread, time::Duration};

use argh::FromArgs;

use crate::{Platform, Target, TargetOptions};

/// Runs a simulated service until it is killed.
#[derive(FromArgs)]
struct Role {
    #[argh(subcommand)]
    role: RoleCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum RoleCommand {
    Platform(PlatformRole),
    Target(TargetRole),
}

/// Runs the simulated platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformRole {
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,
}

/// Runs a simulated target.
#[derive(FromArgs)]
#[argh(subcommand, name = "target")]
struct TargetRole {
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,
    /// name of the target
    #[argh(option)]
    name: String,
    /// service of the target
    #[argh(option)]
    service: String,
    /// data centre of the target
    #[argh(option)]
    data_centre: String,
    /// maximum number of concurrent requests
    #[argh(option)]
    slots: u32,
    /// processing time of one request, ms
    #[argh(option)]
    work_ms: u64,
}

/// Runs the simulated service given by `args` until the process is killed.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or the address cannot be bound.
pub fn run_role(args: &[&str]) -> io::Result<()> {
    let role = Role::from_args(&["standin"], args)
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e.output))?;
    match role.role {
        RoleCommand::Platform(role) => {
            let _platform = Platform::start(role.address)?;
            sleep_forever()
        }
        RoleCommand::Target(role) => {
            let opts = TargetOptions {
                name: role.name,
                service: role.service,
                data_centre: role.data_centre,
                slots: role.slots,
                work: Duration::from_millis(role.work_ms),
            };
            let _target = Target::start(role.address, opts)?;
            sleep_forever()
        }
    }
}

fn sleep_forever() -> ! {
    loop {
        thread::sleep(Duration::from_secs(3600));
    }
}
