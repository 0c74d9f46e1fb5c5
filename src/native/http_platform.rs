//! The platform's services over HTTP.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::{
    http::{call, CallRequest},
    metrics::{Counter, Metrics},
};

use crate::store::{
    BoxFuture, HostList, ListedHost, ObjectStore, Row, RowKey, ScannedRow, StoreError, Table,
    TransactOutcome, Transaction,
};

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time to transfer one object.
const OBJECT_TIMEOUT: Duration = Duration::from_secs(60);
/// Most bytes of one answer.
const MAX_ANSWER_BYTES: usize = 512 << 20;

/// The platform's services over HTTP.
pub struct HttpPlatform {
    address: SocketAddr,
    host: String,
    metrics: Rc<Metrics>,
    hosts: RefCell<KnownHosts>,
}

/// The list of hosts as last read.
#[derive(Default)]
struct KnownHosts {
    version: Option<u64>,
    hosts: Vec<ListedHost>,
}

#[derive(Deserialize)]
struct TransactAnswer {
    committed: bool,
}

#[derive(Deserialize)]
struct ReadAnswer {
    rows: Vec<Option<Row>>,
}

#[derive(Serialize)]
struct ScanCall<'a> {
    table: &'a str,
    after: &'a str,
    limit: usize,
}

#[derive(Deserialize)]
struct ScanAnswer {
    rows: Vec<ScannedRow>,
}

#[derive(Deserialize)]
struct HostsAnswer {
    /// Version of the list; none when the platform counts none.
    #[serde(default)]
    version: Option<u64>,
    /// The list; none when the version that was named is still the current one.
    hosts: Option<Vec<ListedHost>>,
}

impl HttpPlatform {
    /// Makes a client of the platform at `address`, for this `host`.
    pub fn new(address: SocketAddr, host: &str, metrics: Rc<Metrics>) -> Self {
        Self {
            address,
            host: host.to_owned(),
            metrics,
            hosts: RefCell::default(),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let req = CallRequest {
            method,
            path,
            headers: &[("platform-caller", &self.host)],
            body,
            timeout,
            max_response_bytes: MAX_ANSWER_BYTES,
        };
        match call(self.address, &req).await {
            Ok(res) => {
                self.metrics
                    .add(Counter::PlatformBytes, res.bytes_transferred);
                Ok((res.status, res.body))
            }
            Err(_) => Err(StoreError::NoAnswer),
        }
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, StoreError> {
        let body = serde_json::to_vec(body).map_err(|_| StoreError::Refused)?;
        let (status, answer) = self
            .send(Method::POST, path, Bytes::from(body), CALL_TIMEOUT)
            .await?;
        if status.is_client_error() {
            return Err(StoreError::Refused);
        }
        serde_json::from_slice(&answer).map_err(|_| StoreError::BadAnswer)
    }
}

impl Table for HttpPlatform {
    fn transact<'a>(
        &'a self,
        tx: &'a Transaction,
    ) -> BoxFuture<'a, Result<TransactOutcome, StoreError>> {
        Box::pin(async move {
            let answer: TransactAnswer = self.post("/v1/transact", tx).await?;
            Ok(if answer.committed {
                TransactOutcome::Committed
            } else {
                TransactOutcome::ConditionFailed
            })
        })
    }

    fn read<'a>(
        &'a self,
        keys: &'a [RowKey],
    ) -> BoxFuture<'a, Result<Vec<Option<Row>>, StoreError>> {
        Box::pin(async move {
            let answer: ReadAnswer = self.post("/v1/read", &keys).await?;
            if answer.rows.len() != keys.len() {
                return Err(StoreError::BadAnswer);
            }
            Ok(answer.rows)
        })
    }

    fn scan<'a>(
        &'a self,
        table: &'static str,
        after: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Vec<ScannedRow>, StoreError>> {
        Box::pin(async move {
            let scan = ScanCall {
                table,
                after,
                limit,
            };
            let answer: ScanAnswer = self.post("/v1/scan", &scan).await?;
            Ok(answer.rows)
        })
    }
}

impl ObjectStore for HttpPlatform {
    fn put<'a>(&'a self, name: &'a str, body: Bytes) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            let path = format!("/v1/objects/{name}");
            let (status, _) = self.send(Method::PUT, &path, body, OBJECT_TIMEOUT).await?;
            if status != StatusCode::OK {
                return Err(StoreError::Refused);
            }
            Ok(())
        })
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, StoreError>> {
        Box::pin(async move {
            let path = format!("/v1/objects/{name}");
            let (status, body) = self
                .send(Method::GET, &path, Bytes::new(), OBJECT_TIMEOUT)
                .await?;
            match status {
                StatusCode::OK => Ok(Some(body)),
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(StoreError::Refused),
            }
        })
    }
}

impl HostList for HttpPlatform {
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, StoreError>> {
        Box::pin(async move {
            let known = self.hosts.borrow().version;
            let path = match known {
                Some(version) => format!("/v1/hosts?version={version}"),
                None => "/v1/hosts".to_owned(),
            };
            let (_, body) = self
                .send(Method::GET, &path, Bytes::new(), CALL_TIMEOUT)
                .await?;
            let answer: HostsAnswer =
                serde_json::from_slice(&body).map_err(|_| StoreError::BadAnswer)?;
            let mut known = self.hosts.borrow_mut();
            if let Some(hosts) = answer.hosts {
                known.version = answer.version;
                known.hosts = hosts;
            }
            Ok(known.hosts.clone())
        })
    }
}
