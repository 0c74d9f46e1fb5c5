//! Request/reply calls to other daemons.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use local_sync::{mpsc, oneshot, semaphore::Semaphore};
use monoio::time::timeout;
use rustc_hash::FxHashMap;
use serde::{de::DeserializeOwned, Serialize};

use crate::metrics::Metrics;

use super::{
    connection::PeerConnection, decode, encode, lane::Lane, Envelope, FleetSecrets, MessageKind,
    PeerDirectory, PeerError,
};

/// Maximum number of messages in one batch.
const MAX_BATCH: usize = 256;
/// Maximum number of batches of one lane in flight, each on its own connection.
const MAX_IN_FLIGHT: usize = 4;
/// Time after which an unused lane closes its connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

struct Call {
    msg: Envelope,
    deadline: Instant,
    reply: oneshot::Sender<Result<Envelope, PeerError>>,
}

/// Calls other daemons over a few persistent connections each. Messages that queue up while all
/// connections are busy are sent as one batch; messages of different lanes do not block each other.
#[derive(Clone)]
pub struct PeerClient {
    shared: Rc<Shared>,
}

struct Shared {
    secrets: FleetSecrets,
    directory: PeerDirectory,
    metrics: Rc<Metrics>,
    lanes: RefCell<FxHashMap<LaneKey, mpsc::unbounded::Tx<Call>>>,
}

/// Identifies the messages that share connections.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct LaneKey {
    address: SocketAddr,
    lane: Lane,
}

/// The idle connections of one lane.
type IdleConnections = Rc<RefCell<Vec<PeerConnection>>>;

impl PeerClient {
    /// Creates a client that looks peers up in `directory`.
    pub fn new(secrets: FleetSecrets, directory: PeerDirectory, metrics: Rc<Metrics>) -> Self {
        Self {
            shared: Rc::new(Shared {
                secrets,
                directory,
                metrics,
                lanes: RefCell::default(),
            }),
        }
    }

    /// Returns the directory of peers.
    pub fn directory(&self) -> &PeerDirectory {
        &self.shared.directory
    }

    /// Sends `msg` to the daemon on `host` and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrives within `limit`.
    pub async fn call<Req: Serialize, Res: DeserializeOwned>(
        &self,
        host: &str,
        kind: MessageKind,
        msg: &Req,
        limit: Duration,
    ) -> Result<Res, PeerError> {
        let peer = self
            .shared
            .directory
            .find(host)
            .ok_or(PeerError::UnknownPeer)?;
        self.call_address(peer.address, kind, msg, limit).await
    }

    /// Sends `msg` to the daemon on `host`, again if the connection fails, and returns the reply.
    ///
    /// A connection kept from before a restart of the other daemon fails at once. The other daemon
    /// may handle the message twice.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrives within `limit`.
    pub async fn call_repeatable<Req: Serialize, Res: DeserializeOwned>(
        &self,
        host: &str,
        kind: MessageKind,
        msg: &Req,
        limit: Duration,
    ) -> Result<Res, PeerError> {
        let res = self.call_encoded(host, kind, encode(msg), limit).await?;
        decode(&res).ok_or(PeerError::BadAnswer)
    }

    /// Sends the encoded body of a message to the daemon on `host`, again if the connection fails,
    /// and returns the body of the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrives within `limit`.
    pub async fn call_encoded(
        &self,
        host: &str,
        kind: MessageKind,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        let peer = self.shared.directory.find(host);
        let address = peer.ok_or(PeerError::UnknownPeer)?.address;
        let end = Instant::now() + limit;
        let res = self.exchange(address, kind, body.clone(), limit).await;
        let left = end.saturating_duration_since(Instant::now());
        if !matches!(res, Err(PeerError::NoAnswer)) || left.is_zero() {
            return res;
        }
        self.exchange(address, kind, body, left).await
    }

    /// Sends `msg` to the daemon at `address` and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrives within `limit`.
    pub async fn call_address<Req: Serialize, Res: DeserializeOwned>(
        &self,
        address: SocketAddr,
        kind: MessageKind,
        msg: &Req,
        limit: Duration,
    ) -> Result<Res, PeerError> {
        let body = self.exchange(address, kind, encode(msg), limit).await?;
        decode(&body).ok_or(PeerError::BadAnswer)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        kind: MessageKind,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        let (reply, rx) = oneshot::channel();
        let call = Call {
            msg: Envelope { kind, body },
            deadline: Instant::now() + limit,
            reply,
        };
        let lane = Lane::for_kind(kind);
        self.enqueue(LaneKey { address, lane }, call);
        let reply = match timeout(limit, rx).await {
            Ok(Ok(reply)) => reply?,
            _ => return Err(PeerError::NoAnswer),
        };
        reply.body.ok_or(PeerError::Refused)
    }

    fn enqueue(&self, key: LaneKey, call: Call) {
        let mut lanes = self.shared.lanes.borrow_mut();
        let tx = lanes.entry(key).or_insert_with(|| {
            let (tx, rx) = mpsc::unbounded::channel();
            monoio::spawn(lane_task(self.shared.clone(), key, rx));
            tx
        });
        let _ = tx.send(call);
    }
}

/// Sends the messages of one lane to one daemon until the lane is idle for [`IDLE_TIMEOUT`].
///
/// Each message is sent on its own, so that its reply is not delayed by others, until only the last
/// of [`MAX_IN_FLIGHT`] connections is left, which carries up to [`MAX_BATCH`] queued messages.
async fn lane_task(shared: Rc<Shared>, key: LaneKey, mut rx: mpsc::unbounded::Rx<Call>) {
    let idle = IdleConnections::default();
    let in_flight = Rc::new(Semaphore::new(MAX_IN_FLIGHT));
    while let Ok(Some(first)) = timeout(IDLE_TIMEOUT, rx.recv()).await {
        let Ok(permit) = in_flight.clone().acquire_owned().await else {
            break;
        };
        let more = in_flight.available_permits() > 0;
        let max = if more { 1 } else { MAX_BATCH };
        let batch = collect_batch(first, max, &mut rx);
        if batch.is_empty() {
            continue;
        }
        let shared = shared.clone();
        let idle = idle.clone();
        monoio::spawn(async move {
            send_batch(&shared, key, &idle, batch).await;
            drop(permit);
        });
    }
    shared.lanes.borrow_mut().remove(&key);
    rx.close();
    while let Ok(call) = rx.try_recv() {
        let _ = call.reply.send(Err(PeerError::NoAnswer));
    }
}

/// Returns `first` and the calls queued after it, at most `max`, without the expired ones.
fn collect_batch(first: Call, max: usize, rx: &mut mpsc::unbounded::Rx<Call>) -> Vec<Call> {
    let mut batch = vec![first];
    while batch.len() < max {
        match rx.try_recv() {
            Ok(call) => batch.push(call),
            Err(_) => break,
        }
    }
    let now = Instant::now();
    batch.retain(|call| call.deadline > now);
    batch
}

async fn send_batch(shared: &Shared, key: LaneKey, idle: &IdleConnections, batch: Vec<Call>) {
    let deadline = batch
        .iter()
        .map(|call| call.deadline)
        .max()
        .unwrap_or_else(Instant::now);
    let limit = deadline.saturating_duration_since(Instant::now());
    let msgs: Vec<Envelope> = batch.iter().map(|call| call.msg.clone()).collect();
    let sent = timeout(limit, send_on(shared, key, idle, &msgs)).await;
    match sent.unwrap_or(Err(PeerError::NoAnswer)) {
        Ok(replies) => {
            for (call, reply) in batch.into_iter().zip(replies) {
                let _ = call.reply.send(Ok(reply));
            }
        }
        Err(e) => {
            idle.borrow_mut().clear();
            for call in batch {
                let _ = call.reply.send(Err(e));
            }
        }
    }
}

/// Sends on an idle connection, or on a new one, and returns it to the idle ones on success.
async fn send_on(
    shared: &Shared,
    key: LaneKey,
    idle: &IdleConnections,
    msgs: &[Envelope],
) -> Result<Vec<Envelope>, PeerError> {
    let idle_conn = idle.borrow_mut().pop();
    let mut conn = match idle_conn {
        Some(conn) => conn,
        None => {
            let metrics = shared.metrics.clone();
            PeerConnection::open(key.address, metrics, key.lane.counter()).await?
        }
    };
    let own_host = shared.directory.own_host();
    let replies = conn.send(&shared.secrets, own_host, msgs).await;
    conn.count_bytes();
    let replies = replies?;
    idle.borrow_mut().push(conn);
    Ok(replies)
}
