//! Starts a small fleet on loopback and sends a few requests through it.
//!
//! `cargo run --release --example quickstart -- --seconds 5`

use std::{
    io,
    net::SocketAddr,
    process::{Child, Command, ExitCode, Stdio},
    thread,
    time::{Duration, Instant},
};

use argh::FromArgs;
use serde_json::{json, Value};
use standins::{free_address, run_role, Client, DaemonCommand, DaemonProcess, Reply};

const OPERATOR_TOKEN: &str = "quickstart-operator-token";
const DATA_CENTRES: [&str; 3] = ["hobart", "launceston", "devonport"];
const SERVICES: [&str; 3] = ["catalogue", "orders", "studio-diary"];
const TARGETS_PER_SERVICE: usize = 2;
/// Timeout for a process to become reachable.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a platform, 6 targets and 3 daemons as processes and sends requests.
#[derive(FromArgs)]
struct Args {
    /// exit after this many seconds; runs until Ctrl-C by default
    #[argh(option)]
    seconds: Option<u64>,
}

/// A simulated service as a child process; killed when dropped.
struct ServiceProcess(Child);

impl Drop for ServiceProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.get(1) {
        Some(&"daemon") => chervillug::run(&args[1..]).into(),
        Some(&"standin") => to_exit_code(run_role(&args[2..])),
        _ => to_exit_code(quickstart(&argh::from_env())),
    }
}

fn to_exit_code(res: io::Result<()>) -> ExitCode {
    match res {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn quickstart(args: &Args) -> io::Result<()> {
    let end = args
        .seconds
        .map(|s| Instant::now() + Duration::from_secs(s));
    let directory =
        std::env::temp_dir().join(format!("chervillug-quickstart-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let platform = free_address()?;
    let mut services = vec![start_service(&[
        "platform",
        "--address",
        &platform.to_string(),
    ])?];
    wait_until_reachable(platform)?;
    println!("platform        {platform}");
    for service in SERVICES {
        for i in 0..TARGETS_PER_SERVICE {
            services.push(start_target(platform, service, i)?);
        }
    }
    let daemons = start_daemons(platform, &directory)?;
    let key = create_workspace(&daemons[0])?;
    for (daemon, service) in daemons.iter().zip(SERVICES) {
        wait_for_key(daemon, &key, service)?;
        for method in ["GET", "POST"] {
            let path = format!("/{service}/item-1");
            let reply = send(daemon, &key, method, &path)?;
            print_reply(&daemon.host, method, &path, &reply);
        }
    }
    let reply = send(&daemons[0], "ck_wrong", "GET", "/catalogue/item-1")?;
    print_reply(
        &daemons[0].host,
        "GET",
        "/catalogue/item-1 (wrong key)",
        &reply,
    );
    print_next_steps(&daemons[0], &key);
    match end {
        Some(end) => thread::sleep(end.saturating_duration_since(Instant::now())),
        None => loop {
            thread::sleep(START_TIMEOUT);
        },
    }
    std::fs::remove_dir_all(&directory)
}

fn start_service(args: &[&str]) -> io::Result<ServiceProcess> {
    let child = Command::new(std::env::current_exe()?)
        .arg("standin")
        .args(args)
        .stdin(Stdio::null())
        .spawn()?;
    Ok(ServiceProcess(child))
}

fn start_target(platform: SocketAddr, service: &str, i: usize) -> io::Result<ServiceProcess> {
    let address = free_address()?;
    let name = format!("{service}-{i}");
    let data_centre = DATA_CENTRES[i % DATA_CENTRES.len()];
    let process = start_service(&[
        "target",
        "--address",
        &address.to_string(),
        "--name",
        &name,
        "--service",
        service,
        "--data-centre",
        data_centre,
        "--slots",
        "2",
        "--work-ms",
        "3",
    ])?;
    wait_until_reachable(address)?;
    register_host(platform, &name, data_centre, address, Some(service))?;
    println!("target          {address}  {name} in {data_centre}");
    Ok(process)
}

fn register_host(
    platform: SocketAddr,
    name: &str,
    data_centre: &str,
    address: SocketAddr,
    service: Option<&str>,
) -> io::Result<()> {
    let row = json!({
        "name": name,
        "data_centre": data_centre,
        "address": address,
        "service": service,
        "slots": 2,
    });
    let body = row.to_string().into_bytes();
    Client::send_once(platform, "POST", "/control/host", &[], &body).map(|_| ())
}

fn start_daemons(
    platform: SocketAddr,
    directory: &std::path::Path,
) -> io::Result<Vec<DaemonProcess>> {
    let command = DaemonCommand {
        program: std::env::current_exe()?,
        leading_args: vec!["daemon".to_owned()],
    };
    let mut daemons = Vec::new();
    for (i, data_centre) in DATA_CENTRES.iter().enumerate() {
        let host = format!("entry-{i}");
        let peer_address = free_address()?;
        let settings = json!({
            "host": host,
            "data_centre": data_centre,
            "caller_address": free_address()?,
            "peer_address": peer_address,
            "operator_address": free_address()?,
            "platform_address": platform,
            "fleet_secrets": ["quickstart-fleet-secret"],
            "key_secret": "quickstart-key-secret",
            "operator_tokens": [OPERATOR_TOKEN],
        });
        register_host(platform, &host, data_centre, peer_address, None)?;
        daemons.push(DaemonProcess::start(&command, directory, &settings)?);
    }
    for daemon in &daemons {
        wait_until_reachable(daemon.operator_address)?;
        println!("daemon          {}  {}", daemon.caller_address, daemon.host);
    }
    Ok(daemons)
}

fn create_workspace(daemon: &DaemonProcess) -> io::Result<String> {
    let routes: Vec<Value> = SERVICES
        .iter()
        .map(|s| json!({"service": s, "prefix": format!("/{s}")}))
        .collect();
    let access = json!({"set_access": {"plan": "small", "routes": routes}});
    let plan = json!({
        "set_plan": {"workspace": "parish", "plan": "small", "rate_per_s": 50, "burst": 50}
    });
    operator_request(daemon, "/edit", &json!({"changes": [access, plan]}))?;
    let response = operator_request(daemon, "/key/give", &json!({"workspace": "parish"}))?;
    response["key"]
        .as_str()
        .map(str::to_owned)
        .ok_or_else(|| io::Error::other(format!("no key: {response}")))
}

fn operator_request(daemon: &DaemonProcess, path: &str, body: &Value) -> io::Result<Value> {
    let bearer = format!("Bearer {OPERATOR_TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let body = body.to_string().into_bytes();
    let reply = Client::send_once(daemon.operator_address, "POST", path, &headers, &body)?;
    if reply.status != 200 {
        return Err(io::Error::other(reply.text()));
    }
    Ok(reply.json())
}

fn send(daemon: &DaemonProcess, key: &str, method: &str, path: &str) -> io::Result<Reply> {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    Client::send_once(daemon.caller_address, method, path, &headers, b"")
}

fn print_reply(host: &str, method: &str, path: &str, reply: &Reply) {
    let outcome = reply.header("chervillug-outcome").unwrap_or("none");
    println!(
        "{host}: {method} {path} -> {} {outcome}: {}",
        reply.status,
        reply.text()
    );
}

fn print_next_steps(daemon: &DaemonProcess, key: &str) {
    println!("\nTry next:");
    println!(
        "  curl -i -H 'authorization: Bearer {key}' http://{}/catalogue/item-2",
        daemon.caller_address
    );
    println!(
        "  curl -s -H 'authorization: Bearer {OPERATOR_TOKEN}' http://{}/status",
        daemon.operator_address
    );
}

fn wait_until_reachable(address: SocketAddr) -> io::Result<()> {
    let end = Instant::now() + START_TIMEOUT;
    while Client::connect(address, Duration::from_secs(1)).is_err() {
        if Instant::now() > end {
            return Err(io::Error::other(format!("cannot connect to {address}")));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Waits until the daemon has received the edit with the key and the list of targets.
fn wait_for_key(daemon: &DaemonProcess, key: &str, service: &str) -> io::Result<()> {
    let end = Instant::now() + START_TIMEOUT;
    while send(daemon, key, "GET", &format!("/{service}/ready"))?.status != 200 {
        if Instant::now() > end {
            return Err(io::Error::other(format!(
                "{} does not accept the key",
                daemon.host
            )));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}
