//! TCP relay between two processes with fault injection for each direction.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard,
    },
    thread,
    time::{Duration, Instant},
};

/// Interval at which a blocked read checks the faults.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Faults of a link, which can be changed at run time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Drops bytes to the accepting side; connections stay open.
    pub silent_forward: bool,
    /// Drops bytes back to the connecting side; connections stay open.
    pub silent_backward: bool,
    /// Closes all connections, including new ones.
    pub cut: bool,
    /// Bytes per second of each direction, which all connections share; `None` for no limit.
    pub bytes_per_s: Option<u32>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

struct Shared {
    faults: Mutex<LinkFaults>,
    /// When the link has carried all bytes accepted so far, by direction.
    busy_until: [Mutex<Option<Instant>>; 2],
    stopped: AtomicBool,
}

impl Shared {
    fn faults(&self) -> MutexGuard<'_, LinkFaults> {
        self.faults.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn is_silent(&self, direction: Direction) -> bool {
        let faults = self.faults();
        match direction {
            Direction::Forward => faults.silent_forward,
            Direction::Backward => faults.silent_backward,
        }
    }

    /// Waits until the link has carried `n` further bytes.
    fn wait_carried(&self, direction: Direction, n: usize) {
        let Some(rate) = self.faults().bytes_per_s else {
            return;
        };
        let end = {
            let queue = &self.busy_until[direction as usize];
            let mut busy_until = queue.lock().unwrap_or_else(|e| e.into_inner());
            let now = Instant::now();
            let start = busy_until.map_or(now, |until| until.max(now));
            *busy_until.insert(start + Duration::from_secs_f64(n as f64 / f64::from(rate)))
        };
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }

    fn is_closed(&self) -> bool {
        self.stopped.load(Ordering::Relaxed) || self.faults().cut
    }
}

/// A running relay to one address; stops when dropped.
///
/// A direction of a connection on which bytes were dropped stays silent until the connection
/// closes, like a connection whose state was lost by a device on its path.
pub struct Link {
    /// Listen address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Link {
    /// Starts a relay from `address` to `destination`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, destination: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            faults: Mutex::default(),
            busy_until: Default::default(),
            stopped: AtomicBool::new(false),
        });
        let link = Self {
            address,
            shared: shared.clone(),
        };
        thread::spawn(move || accept_loop(&listener, destination, &shared));
        Ok(link)
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut self.shared.faults());
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

fn accept_loop(listener: &TcpListener, destination: SocketAddr, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        if shared.stopped.load(Ordering::Relaxed) {
            return;
        }
        let Ok(stream) = stream else { continue };
        if !shared.is_closed() {
            let _ = relay(stream, destination, shared);
        }
    }
}

fn relay(client: TcpStream, destination: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    let server = TcpStream::connect(destination)?;
    for stream in [&client, &server] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
    }
    spawn_pump(
        Direction::Forward,
        client.try_clone()?,
        server.try_clone()?,
        shared,
    );
    spawn_pump(Direction::Backward, server, client, shared);
    Ok(())
}

fn spawn_pump(direction: Direction, from: TcpStream, to: TcpStream, shared: &Arc<Shared>) {
    let shared = shared.clone();
    thread::spawn(move || {
        pump(direction, &from, &to, &shared);
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// Copies bytes until one side closes or the link is cut.
fn pump(direction: Direction, mut from: &TcpStream, mut to: &TcpStream, shared: &Shared) {
    let mut buf = [0; 16 * 1024];
    let mut dropped = false;
    while !shared.is_closed() {
        let n = match from.read(&mut buf) {
            Ok(0) => return,
            Ok(n) => n,
            Err(e) if is_timeout(&e) => continue,
            Err(_) => return,
        };
        shared.wait_carried(direction, n);
        dropped |= shared.is_silent(direction);
        if !dropped && to.write_all(&buf[..n]).is_err() {
            return;
        }
    }
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}
