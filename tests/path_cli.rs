//! The command line against a real daemon.

mod env;

use std::{
    net::SocketAddr,
    process::{Command, Output},
    time::Duration,
};

use serde_json::Value;
use standins::Cluster;

/// Time within which an accepted edit is in force; the users' bound.
const EDIT_TIME: Duration = Duration::from_secs(5);

/// One command line behind `--daemon ADDRESS`, and what comes of it.
struct Case {
    args: &'static str,
    code: i32,
    /// Text that stands in the output.
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

fn text(out: &Output) -> String {
    let both = [out.stdout.as_slice(), out.stderr.as_slice()].concat();
    String::from_utf8_lossy(&both).into_owned()
}

#[test]
fn operators_commands_do_what_they_say() {
    let cluster = env::start(env::options());
    let daemon = cluster.daemons[0].operator_address;
    for case in &CASES {
        let go = || run(Some(daemon), Some(cluster.operator_token()), case.args);
        let mut out = go();
        let reads = case.args.contains("list") || case.args.ends_with("status");
        if reads {
            env::eventually(EDIT_TIME, || {
                out = go();
                text(&out).contains(case.out)
            });
        }
        let told = text(&out);
        assert_eq!(out.status.code(), Some(case.code), "{}: {told}", case.args);
        assert!(told.contains(case.out), "{}: {told}", case.args);
    }
}

/// Gives a key by the command line and returns it with its hash.
fn give_key(cluster: &Cluster) -> (String, String) {
    let daemon = cluster.daemons[0].operator_address;
    let out = run(
        Some(daemon),
        Some(cluster.operator_token()),
        "--json key give parish",
    );
    let given: Value = serde_json::from_slice(&out.stdout).expect("JSON");
    let text = |name: &str| given[name].as_str().expect("text").to_owned();
    (text("key"), text("hash"))
}

#[test]
fn key_from_the_command_line_works_until_it_is_withdrawn() {
    let cluster = env::start(env::options());
    let token = Some(cluster.operator_token());
    let daemon = cluster.daemons[0].operator_address;
    env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let (key, hash) = give_key(&cluster);
    let status = || {
        cluster
            .request(0, &key, "GET", "/catalogue")
            .map(|r| r.status)
    };
    assert!(env::eventually(EDIT_TIME, || status().is_ok_and(|s| s == 200)));
    let listed = text(&run(Some(daemon), token, "key list"));
    assert!(listed.contains(&hash) && !listed.contains(&key));
    let out = run(Some(daemon), token, &format!("key withdraw {hash}"));
    assert_eq!(out.status.code(), Some(0));
    assert!(env::eventually(EDIT_TIME, || status().is_ok_and(|s| s == 401)));
}

#[test]
fn missing_daemon_or_token_is_told() {
    let nobody = standins::free_address().expect("an address");
    let cases = [
        (None, Some("token-0123456789"), 2, "--daemon"),
        (Some(nobody), None, 2, "CHERVILLUG_TOKEN"),
        (Some(nobody), Some("token-0123456789"), 6, "may or may not"),
    ];
    for (daemon, token, code, told) in cases {
        let out = run(daemon, token, "plan remove parish");
        assert_eq!(out.status.code(), Some(code), "{told}");
        assert!(text(&out).contains(told), "{}", text(&out));
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
        let help = text(&out).replace('\n', " ");
        assert!(help.contains("Example: chervillug"), "{command}: {help}");
    }
}
