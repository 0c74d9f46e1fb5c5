//! Command line arguments.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

/// Proxy fleet for targets with gray failures. Example: chervillug --daemon 10.0.0.1:8081 status
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// operator address of any daemon, required by plan, access, key and status
    #[argh(option)]
    pub daemon: Option<SocketAddr>,
    /// operator token; prefer the environment variable CHERVILLUG_TOKEN
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// subcommand to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Runs a daemon.
    Serve(ServeArgs),
    /// Runs an entry daemon on the users' platform.
    Front(FrontArgs),
    /// Explains a request from logs.
    Explain(ExplainArgs),
    /// Checks a settings file.
    Check(CheckArgs),
    /// Edits the list of plans.
    Plan(PlanArgs),
    /// Edits the access list.
    Access(AccessArgs),
    /// Issues and withdraws keys.
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

/// Run an entry daemon on the users' platform until SIGTERM or SIGINT. Example: chervillug front --settings front.json
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "front")]
pub struct FrontArgs {
    /// settings file, JSON with comments; defaults to the file provided by the platform
    #[argh(option)]
    pub settings: Option<PathBuf>,
}

/// Explain one request from log lines on standard input. Example: cat *.log | chervillug explain --request 9c41d07be2a35f68
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// id of the request, as given in its answer and in the logs
    #[argh(option)]
    pub request: String,
}

/// Check a settings file and exit. Example: chervillug check --settings entry-1.json
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// settings file, JSON with comments
    #[argh(option)]
    pub settings: PathBuf,
}

/// Edit the list of plans. Example: chervillug --daemon 10.0.0.1:8081 plan set parish --plan small --rate 20 --burst 40
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanArgs {
    /// subcommand to run
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

/// Set the plan, rate and burst of a workspace. Example: chervillug --daemon 10.0.0.1:8081 plan set parish --plan small --rate 20 --burst 40
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub struct PlanSetArgs {
    /// workspace
    #[argh(positional)]
    pub workspace: String,
    /// name of the plan; the access list determines its routes
    #[argh(option)]
    pub plan: String,
    /// requests per second across the whole fleet
    #[argh(option)]
    pub rate: f64,
    /// maximum burst of requests across the whole fleet
    #[argh(option)]
    pub burst: u32,
    /// revision on which the edit is based; the edit is rejected if there is a newer one
    #[argh(option)]
    pub from_revision: Option<u64>,
}

/// Remove a workspace from the list of plans. Example: chervillug --daemon 10.0.0.1:8081 plan remove parish
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct PlanRemoveArgs {
    /// workspace
    #[argh(positional)]
    pub workspace: String,
    /// revision on which the edit is based; the edit is rejected if there is a newer one
    #[argh(option)]
    pub from_revision: Option<u64>,
}

/// List all workspaces and their plans. Example: chervillug --daemon 10.0.0.1:8081 --json plan list
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct PlanListArgs {}

/// Edit the routes that plans may use. Example: chervillug --daemon 10.0.0.1:8081 access set small --route catalogue=/catalogue
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "access")]
pub struct AccessArgs {
    /// subcommand to run
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

/// Set all routes that a plan may use. Example: chervillug --daemon 10.0.0.1:8081 access set small --route orders=/orders,once
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub struct AccessSetArgs {
    /// plan, or '*' for all plans
    #[argh(positional)]
    pub plan: String,
    /// route as SERVICE=/PREFIX, SERVICE=/PREFIX,repeatable or SERVICE=/PREFIX,once; pass one
    /// option per route
    #[argh(option)]
    pub route: Vec<String>,
    /// revision on which the edit is based; the edit is rejected if there is a newer one
    #[argh(option)]
    pub from_revision: Option<u64>,
}

/// Remove a plan from the access list. Example: chervillug --daemon 10.0.0.1:8081 access remove small
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct AccessRemoveArgs {
    /// plan, or '*' for all plans
    #[argh(positional)]
    pub plan: String,
    /// revision on which the edit is based; the edit is rejected if there is a newer one
    #[argh(option)]
    pub from_revision: Option<u64>,
}

/// List all plans and their routes. Example: chervillug --daemon 10.0.0.1:8081 access list
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct AccessListArgs {}

/// Issue and withdraw keys. Example: chervillug --daemon 10.0.0.1:8081 key give parish
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct KeyArgs {
    /// subcommand to run
    #[argh(subcommand)]
    pub command: KeyCommand,
}

/// Operations on keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum KeyCommand {
    /// Issues a key.
    Give(KeyGiveArgs),
    /// Withdraws a key.
    Withdraw(KeyWithdrawArgs),
    /// Lists all keys.
    List(KeyListArgs),
}

/// Issue a new key to a workspace and show it once. Example: chervillug --daemon 10.0.0.1:8081 key give parish
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "give")]
pub struct KeyGiveArgs {
    /// workspace
    #[argh(positional)]
    pub workspace: String,
}

/// Withdraw a key by its hash, as shown by 'key give' and 'key list'. Example: chervillug --daemon 10.0.0.1:8081 key withdraw 00112233445566778899aabbccddeeff
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct KeyWithdrawArgs {
    /// hash of the key
    #[argh(positional)]
    pub hash: String,
}

/// List the hashes and workspaces of all keys. Example: chervillug --daemon 10.0.0.1:8081 key list
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct KeyListArgs {}

/// Show a daemon's status. Example: chervillug --daemon 10.0.0.1:8081 status
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}
