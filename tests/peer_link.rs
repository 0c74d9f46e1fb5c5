//! Fault injection of the TCP relay between daemons in tests.

mod env;

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use standins::{free_address, ClusterOptions, Link, LinkFaults};

/// Time within which an undisturbed byte arrives, and after which a byte counts as lost.
const ECHO_TIMEOUT: Duration = Duration::from_millis(500);

fn start_echo_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind(free_address().expect("an address")).expect("bound");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let (mut r, mut w) = (&stream, &stream);
                let _ = std::io::copy(&mut r, &mut w);
            });
        }
    });
    address
}

fn echoes(link: &Link) -> bool {
    let Ok(mut stream) = TcpStream::connect(link.address) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(ECHO_TIMEOUT));
    let mut buf = [0];
    stream.write_all(b"x").is_ok() && stream.read_exact(&mut buf).is_ok()
}

#[test]
fn link_faults_take_effect_and_can_be_cleared() {
    struct Case {
        faults: LinkFaults,
        echoes: bool,
    }
    let no_faults = LinkFaults::default();
    let cases = [
        Case {
            faults: no_faults,
            echoes: true,
        },
        Case {
            faults: LinkFaults {
                silent_forward: true,
                ..no_faults
            },
            echoes: false,
        },
        Case {
            faults: LinkFaults {
                silent_backward: true,
                ..no_faults
            },
            echoes: false,
        },
        Case {
            faults: LinkFaults {
                cut: true,
                ..no_faults
            },
            echoes: false,
        },
        Case {
            faults: LinkFaults {
                bytes_per_s: Some(1000),
                ..no_faults
            },
            echoes: true,
        },
        Case {
            faults: LinkFaults {
                bytes_per_s: Some(1),
                ..no_faults
            },
            echoes: false,
        },
        Case {
            faults: no_faults,
            echoes: true,
        },
    ];
    let address = free_address().expect("an address");
    let link = Link::start(address, start_echo_server()).expect("a link");
    for case in &cases {
        link.set_faults(|f| *f = case.faults);
        assert_eq!(echoes(&link), case.echoes, "{:?}", case.faults);
    }
}

#[test]
fn fleet_with_links_serves_requests() {
    let cluster = env::start(ClusterOptions {
        daemons: 3,
        links: true,
        ..env::options()
    });
    env::add_workspace(&cluster, "parish", 1000.0, 1000);
}
