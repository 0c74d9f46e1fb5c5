//! Subcommands that use a daemon's operator port.

use std::net::SocketAddr;

use http::{Method, StatusCode};
use serde_json::{json, Value};

use crate::{
    catalog::{Change, Plan, Route},
    cli::{AccessCommand, AccessSetArgs, Cli, KeyCommand, PlanCommand},
    exit_code::ExitCode,
};

use super::{operator_client::call_daemon, print::print_human};

/// Runs the subcommands that call the operator port of a daemon.
pub(super) struct OperatorCommand<'a> {
    daemon: SocketAddr,
    token: Option<&'a str>,
    json: bool,
}

impl<'a> OperatorCommand<'a> {
    /// Creates the command from the daemon, token and output format options of the command line.
    ///
    /// # Errors
    ///
    /// Returns [`ExitCode::Usage`] if `--daemon` is missing.
    pub(super) fn new(cli: &'a Cli) -> Result<Self, ExitCode> {
        let Some(daemon) = cli.daemon else {
            eprintln!(
                "--daemon: missing; pass the operator address of any daemon before the command"
            );
            return Err(ExitCode::Usage);
        };
        Ok(Self {
            daemon,
            token: cli.token.as_deref(),
            json: cli.json,
        })
    }

    fn get(&self, path: &str) -> ExitCode {
        self.send(Method::GET, path, None)
    }

    fn edit(&self, change: &Change, from_revision: Option<u64>) -> ExitCode {
        let body = json!({"from_revision": from_revision, "changes": [change]});
        self.send(Method::POST, "/edit", Some(&body))
    }

    fn send(&self, method: Method, path: &str, body: Option<&Value>) -> ExitCode {
        let response = match call_daemon(self.daemon, self.token, method, path, body) {
            Ok(response) => response,
            Err(code) => return code,
        };
        if self.json {
            println!("{}", response.body);
        } else {
            print_human(&response.body);
        }
        match response.status {
            StatusCode::OK => ExitCode::Success,
            StatusCode::ACCEPTED => ExitCode::Pending,
            StatusCode::GATEWAY_TIMEOUT => ExitCode::Unknown,
            _ => ExitCode::Refused,
        }
    }

    /// Runs a `plan` subcommand.
    pub(super) fn plan(&self, command: &PlanCommand) -> ExitCode {
        match command {
            PlanCommand::Set(args) => {
                let plan = Plan {
                    plan: args.plan.clone(),
                    rate_per_s: args.rate,
                    burst: args.burst,
                };
                let workspace = args.workspace.clone();
                self.edit(&Change::SetPlan { workspace, plan }, args.from_revision)
            }
            PlanCommand::Remove(args) => {
                let workspace = args.workspace.clone();
                self.edit(&Change::RemovePlan { workspace }, args.from_revision)
            }
            PlanCommand::List(_) => self.get("/plans"),
        }
    }

    /// Runs an `access` subcommand.
    pub(super) fn access(&self, command: &AccessCommand) -> ExitCode {
        match command {
            AccessCommand::Set(args) => self.set_access(args),
            AccessCommand::Remove(args) => {
                let plan = args.plan.clone();
                self.edit(&Change::RemoveAccess { plan }, args.from_revision)
            }
            AccessCommand::List(_) => self.get("/access"),
        }
    }

    fn set_access(&self, args: &AccessSetArgs) -> ExitCode {
        let routes: Option<Vec<Route>> = args.route.iter().map(|r| parse_route(r)).collect();
        let Some(routes) = routes else {
            eprintln!(
                "--route: expected SERVICE=/PREFIX, optionally with ',repeatable' or ',once' \
                 appended"
            );
            return ExitCode::Usage;
        };
        let plan = args.plan.clone();
        self.edit(&Change::SetAccess { plan, routes }, args.from_revision)
    }

    /// Runs a `key` subcommand.
    pub(super) fn key(&self, command: &KeyCommand) -> ExitCode {
        match command {
            KeyCommand::Give(args) => {
                let body = json!({"workspace": args.workspace});
                self.send(Method::POST, "/key/give", Some(&body))
            }
            KeyCommand::Withdraw(args) => {
                let Ok(hash) = serde_json::from_value(json!(args.hash)) else {
                    eprintln!("hash: expected 32 hexadecimal digits, as shown by 'key list'");
                    return ExitCode::Usage;
                };
                self.edit(&Change::WithdrawKey { hash }, None)
            }
            KeyCommand::List(_) => self.get("/keys"),
        }
    }

    /// Prints a daemon's status.
    pub(super) fn status(&self) -> ExitCode {
        self.get("/status")
    }
}

fn parse_route(text: &str) -> Option<Route> {
    let (service, rest) = text.split_once('=')?;
    let (prefix, suffix) = rest.split_once(',').unwrap_or((rest, ""));
    let repeatable = match suffix {
        "" => None,
        "repeatable" => Some(true),
        "once" => Some(false),
        _ => return None,
    };
    Some(Route {
        service: service.to_owned(),
        prefix: prefix.to_owned(),
        repeatable,
    })
}
