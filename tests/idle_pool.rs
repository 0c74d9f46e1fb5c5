//! Idle connections to targets under steady traffic.

use std::{
    io::Read,
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    time::Duration,
};

use chervillug::{
    clock::{BootTime, Clock, SystemClock},
    pool::{pool_task, IdleConnections, PoolHandle, TargetConnection},
};
use local_sync::mpsc;
use monoio::{time::sleep, LegacyDriver, RuntimeBuilder};

/// Time of steady traffic, in which the pool evicts connections some times.
const TRAFFIC_TIME: Duration = Duration::from_secs(4);
/// Pause between two messages to the pool, shorter than the time between two evictions.
const MESSAGE_PAUSE: Duration = Duration::from_millis(50);
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.expect("no runtime").block_on(test);
}

/// A target that keeps its end of each connection.
struct Target {
    listener: TcpListener,
}

impl Target {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind");
        Self { listener }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("no address")
    }

    /// Opens a connection and returns both ends.
    async fn connect(&self, now: BootTime) -> (TargetConnection, TcpStream) {
        let conn = TargetConnection::open(self.address(), CONNECT_TIMEOUT, now).await;
        let (stream, _) = self.listener.accept().expect("cannot accept");
        (conn.expect("cannot connect"), stream)
    }
}

/// Returns whether the other side has closed the connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).expect("cannot set");
    matches!(stream.read(&mut [0]), Ok(0))
}

/// Guards against connections to targets that have gone which stay open for as long as requests keep
/// the pool busy, until the daemon has no descriptors left.
#[test]
fn connections_closed_by_targets_are_closed_under_steady_traffic() {
    run(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        let (tx, rx) = mpsc::unbounded::channel();
        monoio::spawn(pool_task(rx, clock.clone()));
        let pool = PoolHandle::new(tx);
        let targets: Vec<Target> = (0..20).map(|_| Target::start()).collect();
        let mut streams = Vec::new();
        for target in &targets {
            let (conn, stream) = target.connect(clock.now()).await;
            pool.put(conn);
            streams.push(stream);
        }
        // The first half of the targets goes away.
        for stream in &streams[..10] {
            let shutdown = stream.shutdown(std::net::Shutdown::Write);
            shutdown.expect("cannot shut down");
        }
        let end = clock.now() + TRAFFIC_TIME;
        let other = Target::start().address();
        while clock.now() < end {
            assert!(pool.take(other, CONNECT_TIMEOUT).await.is_none());
            sleep(MESSAGE_PAUSE).await;
        }
        let closed: Vec<bool> = streams.iter_mut().map(is_closed).collect();
        assert!(closed[..10].iter().all(|c| *c), "gone: {closed:?}");
        assert!(!closed[10..].iter().any(|c| *c), "there: {closed:?}");
    });
}

#[test]
fn number_of_idle_connections_is_bounded_over_all_targets() {
    run(async {
        let mut idle = IdleConnections::new(5);
        let targets: Vec<Target> = (0..4).map(|_| Target::start()).collect();
        let mut streams = Vec::new();
        for i in 0..12u64 {
            let now = BootTime::from_duration(Duration::from_millis(1000 + i));
            let (conn, stream) = targets[i as usize % 4].connect(now).await;
            idle.put(conn, now);
            streams.push(stream);
        }
        assert_eq!(idle.len(), 5);
        sleep(MESSAGE_PAUSE).await;
        let closed: Vec<bool> = streams.iter_mut().map(is_closed).collect();
        let oldest_first: Vec<bool> = (0..12).map(|i| i < 7).collect();
        assert_eq!(closed, oldest_first);
    });
}
