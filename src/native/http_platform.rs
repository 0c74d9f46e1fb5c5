//! The HTTP client of the platform's services.

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

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the transfer of one object.
const OBJECT_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest response.
const MAX_RESPONSE_BYTES: usize = 512 << 20;

/// The HTTP client of the platform's services.
pub struct HttpPlatform {
    address: SocketAddr,
    host: String,
    metrics: Rc<Metrics>,
    hosts: RefCell<CachedHosts>,
}

/// The list of hosts as last read.
#[derive(Default)]
struct CachedHosts {
    version: Option<u64>,
    hosts: Vec<ListedHost>,
}

#[derive(Deserialize)]
struct TransactResponse {
    committed: bool,
}

#[derive(Deserialize)]
struct ReadResponse {
    rows: Vec<Option<Row>>,
}

#[derive(Serialize)]
struct ScanRequest<'a> {
    table: &'a str,
    after: &'a str,
    limit: usize,
}

#[derive(Deserialize)]
struct ScanResponse {
    rows: Vec<ScannedRow>,
}

#[derive(Deserialize)]
struct HostsResponse {
    /// Version of the list; `None` if the platform does not version it.
    #[serde(default)]
    version: Option<u64>,
    /// The list; `None` if the version in the request is still the current one.
    hosts: Option<Vec<ListedHost>>,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address` that identifies itself as `host`.
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
            transfer: None,
            max_response_bytes: MAX_RESPONSE_BYTES,
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
        let (status, body) = self
            .send(Method::POST, path, Bytes::from(body), CALL_TIMEOUT)
            .await?;
        if status.is_client_error() {
            return Err(StoreError::Refused);
        }
        serde_json::from_slice(&body).map_err(|_| StoreError::BadAnswer)
    }
}

impl Table for HttpPlatform {
    fn transact<'a>(
        &'a self,
        tx: &'a Transaction,
    ) -> BoxFuture<'a, Result<TransactOutcome, StoreError>> {
        Box::pin(async move {
            let res: TransactResponse = self.post("/v1/transact", tx).await?;
            Ok(if res.committed {
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
            let res: ReadResponse = self.post("/v1/read", &keys).await?;
            if res.rows.len() != keys.len() {
                return Err(StoreError::BadAnswer);
            }
            Ok(res.rows)
        })
    }

    fn scan<'a>(
        &'a self,
        table: &'static str,
        after: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Vec<ScannedRow>, StoreError>> {
        Box::pin(async move {
            let scan = ScanRequest {
                table,
                after,
                limit,
            };
            let res: ScanResponse = self.post("/v1/scan", &scan).await?;
            Ok(res.rows)
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
            let version = self.hosts.borrow().version;
            let path = match version {
                Some(version) => format!("/v1/hosts?version={version}"),
                None => "/v1/hosts".to_owned(),
            };
            let (status, body) = self
                .send(Method::GET, &path, Bytes::new(), CALL_TIMEOUT)
                .await?;
            if status != StatusCode::OK {
                log::warn!(status = status.as_u16(); "the list of hosts cannot be read");
                return Err(StoreError::Refused);
            }
            let res: HostsResponse =
                serde_json::from_slice(&body).map_err(|_| StoreError::BadAnswer)?;
            let mut cached = self.hosts.borrow_mut();
            if let Some(hosts) = res.hosts {
                cached.version = res.version;
                cached.hosts = hosts;
            }
            Ok(cached.hosts.clone())
        })
    }
}
