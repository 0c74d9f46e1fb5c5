//! A TCP relay between two processes whose directions can be silenced or cut.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard,
    },
    thread,
    time::Duration,
};

/// Time after which a blocked read looks at the faults again.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Faults of a link; each can be switched while it runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Bytes towards the accepting side vanish; connections stay open.
    pub silent_forward: bool,
    /// Bytes back towards the connecting side vanish; connections stay open.
    pub silent_backward: bool,
    /// Connections are closed, and new ones are closed at once.
    pub cut: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

struct Shared {
    faults: Mutex<LinkFaults>,
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

    fn is_closed(&self) -> bool {
        self.stopped.load(Ordering::Relaxed) || self.faults().cut
    }
}

/// A running relay to one address; stops when dropped.
///
/// A direction of a connection on which bytes have vanished stays silent until the connection
/// closes, as one whose state was lost between its ends.
pub struct Link {
    /// Address on which it accepts.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Link {
    /// Starts a relay from `address` to `upstream`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start(address: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            faults: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let link = Self {
            address,
            shared: shared.clone(),
        };
        thread::spawn(move || accept(&listener, upstream, &shared));
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

fn accept(listener: &TcpListener, upstream: SocketAddr, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        if shared.stopped.load(Ordering::Relaxed) {
            return;
        }
        let Ok(stream) = stream else { continue };
        if !shared.is_closed() {
            let _ = relay(stream, upstream, shared);
        }
    }
}

fn relay(near: TcpStream, upstream: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    let far = TcpStream::connect(upstream)?;
    for stream in [&near, &far] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
    }
    spawn_pump(
        Direction::Forward,
        near.try_clone()?,
        far.try_clone()?,
        shared,
    );
    spawn_pump(Direction::Backward, far, near, shared);
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
    let mut lost = false;
    while !shared.is_closed() {
        let n = match from.read(&mut buf) {
            Ok(0) => return,
            Ok(n) => n,
            Err(e) if is_timeout(&e) => continue,
            Err(_) => return,
        };
        lost |= shared.is_silent(direction);
        if !lost && to.write_all(&buf[..n]).is_err() {
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
