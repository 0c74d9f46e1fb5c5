//! Stand-ins as processes of their own.

use std::{io, net::SocketAddr, thread, time::Duration};

use argh::FromArgs;

use crate::{Platform, Target, TargetOptions};

/// Runs one stand-in until it is killed.
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

/// Runs the platform stand-in.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformRole {
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,
}

/// Runs a target stand-in.
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
    /// requests that run at a time
    #[argh(option)]
    slots: u32,
    /// time of one request, ms
    #[argh(option)]
    work_ms: u64,
}

/// Runs the stand-in that `args` name, until the process is killed.
///
/// # Errors
///
/// Returns an error when the arguments are wrong or the address cannot be bound.
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
