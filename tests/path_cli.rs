//! Command line tests against a running daemon.

mod env;

use std::{
    net::SocketAddr,
    process::{Command, Output},
    time::Duration,
};

use serde_json::Value;
use standins::Cluster;

/// The users' limit on the time until an accepted edit is in effect.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

/// Arguments after `--daemon ADDRESS`, with the expected result.
struct Case {
    args: &'static str,
    code: i32,
    /// Text contained in the output.
    out: &'static str,
}

const fn case(args: &'static str, code: i32, out: &'static str) -> Case {
    Case { args, code, out }
}

const CASES: [Case; 22] = [
    case(
        "plan set parish --plan small --rate 20 --burst 40",
        0,
        "result: accepted",
    ),
    case(
        "access set small --route catalogue=/catalogue",
        0,
        "result: accepted",
    ),
    case(
        "access set small --route catalogue=/catalogue,once --route orders=/orders,repeatable",
        0,
        "revision: 3",
    ),
    case("--json plan list", 0, r#""workspace":"parish""#),
    case(
        "plan list",
        0,
        "burst=40  plan=small  rate_per_s=20.0  workspace=parish",
    ),
    case("access list", 0, "plan=small"),
    case("--json access list", 0, r#""prefix":"/orders""#),
    case("key give parish", 0, "key: ck_"),
    case("key list", 0, "workspace=parish"),
    case("--json key list", 0, r#""workspace":"parish""#),
    case("status", 0, "revision: 4"),
    case("--json status", 0, r#""refused.key_exposed":0"#),
    case(
        "plan set parish --plan small --rate 30 --burst 40 --from-revision 1",
        5,
        "result: stale",
    ),
    case(
        "--json plan remove parish --from-revision 1",
        5,
        r#""current":4"#,
    ),
    case(
        "plan set parish --plan small --rate -1 --burst 40",
        5,
        "result: invalid",
    ),
    case("key withdraw 00", 2, "expected 32 hexadecimal digits"),
    case(
        "access set small --route catalogue",
        2,
        "expected SERVICE=/PREFIX",
    ),
    case("access remove small", 0, "result: accepted"),
    case("plan remove parish", 0, "result: accepted"),
    case(
        "--token wrong-token-0123456789 status",
        5,
        "an operator token is needed",
    ),
    case(
        "--token wrong-token-0123456789 plan remove parish",
        5,
        "an operator token is needed",
    ),
    case("plan", 2, "--help"),
];

fn run(daemon: Option<SocketAddr>, token: Option<&str>, args: &str) -> Output {
    let mut command = Command::new(env::command().program);
    command.env_remove("CHERVILLUG_TOKEN");
    if let Some(token) = token {
        command.env("CHERVILLUG_TOKEN", token);
    }
    if let Some(daemon) = daemon {
        command.arg("--daemon").arg(daemon.to_string());
    }
    command.args(args.split(' '));
    command.output().expect("the program runs")
}

fn output_text(out: &Output) -> String {
    let both = [out.stdout.as_slice(), out.stderr.as_slice()].concat();
    String::from_utf8_lossy(&both).into_owned()
}

#[test]
fn operator_commands_print_the_expected_output_and_exit_code() {
    let cluster = env::start(env::options());
    let daemon = cluster.daemons[0].operator_address;
    for case in &CASES {
        let run_case = || run(Some(daemon), Some(cluster.operator_token()), case.args);
        let mut out = run_case();
        let is_read = case.args.contains("list") || case.args.ends_with("status");
        if is_read {
            env::eventually(PROPAGATION_LIMIT, || {
                out = run_case();
                output_text(&out).contains(case.out)
            });
        }
        let output = output_text(&out);
        assert_eq!(
            out.status.code(),
            Some(case.code),
            "{}: {output}",
            case.args
        );
        assert!(output.contains(case.out), "{}: {output}", case.args);
    }
}

/// Issues a key with the command line tool and returns it with its hash.
fn issue_key(cluster: &Cluster) -> (String, String) {
    let daemon = cluster.daemons[0].operator_address;
    let out = run(
        Some(daemon),
        Some(cluster.operator_token()),
        "--json key give parish",
    );
    let response: Value = serde_json::from_slice(&out.stdout).expect("JSON");
    let field = |name: &str| response[name].as_str().expect("a string").to_owned();
    (field("key"), field("hash"))
}

#[test]
fn key_issued_by_the_command_line_is_accepted_until_withdrawn() {
    let cluster = env::start(env::options());
    let token = Some(cluster.operator_token());
    let daemon = cluster.daemons[0].operator_address;
    env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let (key, hash) = issue_key(&cluster);
    let status = || {
        cluster
            .request(0, &key, "GET", "/catalogue")
            .map(|r| r.status)
    };
    assert!(env::eventually(PROPAGATION_LIMIT, || status().is_ok_and(|s| s == 200)));
    let listed = output_text(&run(Some(daemon), token, "key list"));
    assert!(listed.contains(&hash) && !listed.contains(&key));
    let out = run(Some(daemon), token, &format!("key withdraw {hash}"));
    assert_eq!(out.status.code(), Some(0));
    assert!(env::eventually(PROPAGATION_LIMIT, || status().is_ok_and(|s| s == 401)));
}

#[test]
fn missing_daemon_or_token_is_reported() {
    let unused_address = standins::free_address().expect("an address");
    let cases = [
        (None, Some("token-0123456789"), 2, "--daemon"),
        (Some(unused_address), None, 2, "CHERVILLUG_TOKEN"),
        (
            Some(unused_address),
            Some("token-0123456789"),
            6,
            "may or may not",
        ),
    ];
    for (daemon, token, code, expected) in cases {
        let out = run(daemon, token, "plan remove parish");
        assert_eq!(out.status.code(), Some(code), "{expected}");
        assert!(
            output_text(&out).contains(expected),
            "{}",
            output_text(&out)
        );
    }
}

#[test]
fn help_of_every_command_has_an_example() {
    let commands = [
        "",
        "serve ",
        "check ",
        "plan ",
        "plan set ",
        "plan remove ",
        "plan list ",
        "access ",
        "access set ",
        "access remove ",
        "access list ",
        "key ",
        "key give ",
        "key withdraw ",
        "key list ",
        "status ",
    ];
    for command in commands {
        let out = run(None, None, &format!("{command}--help"));
        assert_eq!(out.status.code(), Some(0), "{command}");
        let help = output_text(&out).replace('\n', " ");
        assert!(help.contains("Example: chervillug"), "{command}: {help}");
    }
}
