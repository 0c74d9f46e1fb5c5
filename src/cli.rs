//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Proxy fleet for targets with gray failures.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Runs a daemon.
    Serve(ServeArgs),
    /// Checks a settings file.
    Check(CheckArgs),
    /// Edits the list of plans.
    Plan(PlanArgs),
    /// Edits the access list.
    Access(AccessArgs),
    /// Gives and withdraws keys.
    Key(KeyArgs),
    /// Shows a daemon's status.
    Status(StatusArgs),
}

/// Run a daemon until SIGTERM or SIGINT. Example: chervillug serve --settings entry-1.json
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeArgs {
    /// settings file, JSON with comments
    #[argh(option)]
    pub settings: PathBuf,
}

/// Check a settings file and exit. Example: chervillug check --settings entry-1.json
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// settings file, JSON with comments
    #[argh(option)]
    pub settings: PathBuf,
}

/// Edit the list of plans. Example: chervillug plan set parish --plan small --rate 20 --burst 40
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: PlanCommand,
}

/// Operations on the list of plans.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum PlanCommand {
    /// Sets a workspace's plan.
    Set(PlanSetArgs),
    /// Removes a workspace.
    Remove(PlanRemoveArgs),
    /// Lists all workspaces.
    List(PlanListArgs),
}

/// Set the plan, rate and burst of a workspace.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub struct PlanSetArgs {
    /// workspace
    #[argh(positional)]
    pub workspace: String,
    /// name of the plan, which the access list opens routes to
    #[argh(option)]
    pub plan: String,
    /// requests per second over the whole fleet
    #[argh(option)]
    pub rate: f64,
    /// requests at once over the whole fleet
    #[argh(option)]
    pub burst: u32,
    /// revision that the edit was made from; a newer one refuses the edit
    #[argh(option)]
    pub from_revision: Option<u64>,
    /// operator address of any daemon
    #[argh(option)]
    pub daemon: SocketAddr,
    /// operator token; better set CHERVILLUG_TOKEN in the environment
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Remove a workspace from the list of plans.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct PlanRemoveArgs {
    /// workspace
    #[argh(positional)]
    pub workspace: String,
    /// revision that the edit was made from; a newer one refuses the edit
    #[argh(option)]
    pub from_revision: Option<u64>,
    /// operator address of any daemon
    #[argh(option)]
    pub daemon: SocketAddr,
    /// operator token; better set CHERVILLUG_TOKEN in the environment
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// List all workspaces and their plans.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct PlanListArgs {
    /// operator address of any daemon
    #[argh(option)]
    pub daemon: SocketAddr,
    /// operator token; better set CHERVILLUG_TOKEN in the environment
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Edit what plans may use. Example: chervillug access set small --route catalogue=/catalogue
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "access")]
pub struct AccessArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: AccessCommand,
}

/// Operations on the access list.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum AccessCommand {
    /// Sets a plan's routes.
    Set(AccessSetArgs),
    /// Removes a plan.
    Remove(AccessRemoveArgs),
    /// Lists all plans.
    List(AccessListArgs),
}

/// Set all routes that a plan may use.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub struct AccessSetArgs {
    /// plan, or '*' for all plans
    #[argh(positional)]
    pub plan: String,
    /// route as SERVICE=/PREFIX, SERVICE=/PREFIX,repeatable or SERVICE=/PREFIX,once; give one
    /// option per route
    #[argh(option)]
    pub route: Vec<String>,
    /// revision that the edit was made from; a newer one refuses the edit
    #[argh(option)]
    pub from_revision: Option<u64>,
    /// operator address of any daemon
    #[argh(option)]
    pub daemon: SocketAddr,
    /// operator token; better set CHERVILLUG_TOKEN in the environment
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Remove a plan from the access list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct AccessRemoveArgs {
    /// plan, or '*' for all plans
    #[argh(positional)]
    pub plan: String,
    /// revision that the edit was made from; a newer one refuses the edit
    #[argh(option)]
    pub from_revision: Option<u64>,
    /// operator address of any daemon
    #[argh(option)]
    pub daemon: SocketAddr,
    /// operator token; better set CHERVILLUG_TOKEN in the environment
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// List all plans and their routes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct AccessListArgs {
    /// operator address of any daemon
    #[argh(option)]
    pub daemon: SocketAddr,
    /// operator token; better set CHERVILLUG_TOKEN in the environment
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Give and withdraw keys. Example: chervillug key give parish --daemon 10.0.0.1:8081
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct KeyArgs {
    /// what to do
    #[argh(subcommand)]
    pub command: KeyCommand,
}

/// Operations on keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum KeyCommand {
    /// Gives a key.
    Give(KeyGiveArgs),
    /// Withdraws a key.
    Withdraw(KeyWithdrawArgs),
    /// Lists all keys.
    List(KeyListArgs),
}

/// Give a workspace a new key and show it once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "give")]
pub struct KeyGiveArgs {
    /// workspace
    #[argh(positional)]
    pub workspace: String,
    /// operator address of any daemon
    #[argh(option)]
    pub daemon: SocketAddr,
    /// operator token; better set CHERVILLUG_TOKEN in the environment
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Withdraw a key by its hash, as 'key give' and 'key list' show it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct KeyWithdrawArgs {
    /// hash of the key
    #[argh(positional)]
    pub hash: String,
    /// operator address of any daemon
    #[argh(option)]
    pub daemon: SocketAddr,
    /// operator token; better set CHERVILLUG_TOKEN in the environment
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// List the hashes and workspaces of all keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct KeyListArgs {
    /// operator address of any daemon
    #[argh(option)]
    pub daemon: SocketAddr,
    /// operator token; better set CHERVILLUG_TOKEN in the environment
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show a daemon's status. Example: chervillug status --daemon 10.0.0.1:8081
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// operator address of the daemon
    #[argh(option)]
    pub daemon: SocketAddr,
    /// operator token; better set CHERVILLUG_TOKEN in the environment
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}
