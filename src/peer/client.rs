//! Calls to other daemons.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use local_sync::{mpsc, oneshot};
use monoio::time::timeout;
use rustc_hash::FxHashMap;
use serde::{de::DeserializeOwned, Serialize};

use super::{
    connection::PeerConnection, decode, encode, Envelope, FleetSecrets, PeerDirectory, PeerError,
    PeerKind,
};

/// Most messages of one batch.
const MAX_BATCH: usize = 256;
/// Time for which a connection without messages is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

struct Call {
    msg: Envelope,
    give_up: Instant,
    reply: oneshot::Sender<Result<Envelope, PeerError>>,
}

/// Calls other daemons, on one connection each; messages that wait together travel together.
#[derive(Clone)]
pub struct PeerClient {
    shared: Rc<Shared>,
}

struct Shared {
    secrets: FleetSecrets,
    directory: PeerDirectory,
    lanes: RefCell<FxHashMap<SocketAddr, mpsc::unbounded::Tx<Call>>>,
}

impl PeerClient {
    /// Makes a client that finds peers in `directory`.
    pub fn new(secrets: FleetSecrets, directory: PeerDirectory) -> Self {
        Self {
            shared: Rc::new(Shared {
                secrets,
                directory,
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
    /// Returns an error when no reply arrives within `limit`.
    pub async fn call<Req: Serialize, Res: DeserializeOwned>(
        &self,
        host: &str,
        kind: PeerKind,
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

    /// Sends `msg` to the daemon at `address` and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns an error when no reply arrives within `limit`.
    pub async fn call_address<Req: Serialize, Res: DeserializeOwned>(
        &self,
        address: SocketAddr,
        kind: PeerKind,
        msg: &Req,
        limit: Duration,
    ) -> Result<Res, PeerError> {
        let (reply, rx) = oneshot::channel();
        let call = Call {
            msg: Envelope {
                kind,
                body: encode(msg),
            },
            give_up: Instant::now() + limit,
            reply,
        };
        self.enqueue(address, call);
        let reply = match timeout(limit, rx).await {
            Ok(Ok(reply)) => reply?,
            _ => return Err(PeerError::NoAnswer),
        };
        let body = reply.body.ok_or(PeerError::Refused)?;
        decode(&body).ok_or(PeerError::BadAnswer)
    }

    fn enqueue(&self, address: SocketAddr, call: Call) {
        let mut lanes = self.shared.lanes.borrow_mut();
        let open = lanes.get(&address).filter(|tx| !tx.is_closed());
        let tx = match open {
            Some(tx) => tx,
            None => {
                let (tx, rx) = mpsc::unbounded::channel();
                monoio::spawn(lane_task(self.shared.clone(), address, rx));
                lanes.insert(address, tx);
                &lanes[&address]
            }
        };
        let _ = tx.send(call);
    }
}

/// Owns the connection to one daemon, until no message came for a while.
async fn lane_task(shared: Rc<Shared>, address: SocketAddr, mut rx: mpsc::unbounded::Rx<Call>) {
    let mut conn: Option<PeerConnection> = None;
    while let Ok(Some(first)) = timeout(IDLE_LIMIT, rx.recv()).await {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH {
            match rx.try_recv() {
                Ok(call) => batch.push(call),
                Err(_) => break,
            }
        }
        let now = Instant::now();
        batch.retain(|call| call.give_up > now);
        if batch.is_empty() {
            continue;
        }
        send_batch(&shared, address, &mut conn, batch).await;
    }
    rx.close();
    while let Ok(call) = rx.try_recv() {
        let _ = call.reply.send(Err(PeerError::NoAnswer));
    }
}

async fn send_batch(
    shared: &Shared,
    address: SocketAddr,
    conn: &mut Option<PeerConnection>,
    batch: Vec<Call>,
) {
    let give_up = batch
        .iter()
        .map(|call| call.give_up)
        .max()
        .unwrap_or_else(Instant::now);
    let limit = give_up.saturating_duration_since(Instant::now());
    let msgs: Vec<Envelope> = batch.iter().map(|call| call.msg.clone()).collect();
    let sent = timeout(limit, send_on(shared, address, conn, &msgs)).await;
    match sent.unwrap_or(Err(PeerError::NoAnswer)) {
        Ok(replies) => {
            for (call, reply) in batch.into_iter().zip(replies) {
                let _ = call.reply.send(Ok(reply));
            }
        }
        Err(e) => {
            *conn = None;
            for call in batch {
                let _ = call.reply.send(Err(e));
            }
        }
    }
}

async fn send_on(
    shared: &Shared,
    address: SocketAddr,
    conn: &mut Option<PeerConnection>,
    msgs: &[Envelope],
) -> Result<Vec<Envelope>, PeerError> {
    let mut open = match conn.take() {
        Some(open) => open,
        None => PeerConnection::open(address).await?,
    };
    let own_host = shared.directory.own_host();
    let replies = open.send(&shared.secrets, own_host, msgs).await?;
    *conn = Some(open);
    Ok(replies)
}
