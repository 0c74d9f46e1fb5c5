//! The client of the platform's store.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};
use percent_encoding::{utf8_percent_encode, AsciiSet, PercentEncode, NON_ALPHANUMERIC};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as, DurationSecondsWithFrac};

use crate::{
    http::{call, CallRequest, TransferLimits},
    metrics::{Counter, Metrics},
    store::{
        BoxFuture, Era, EraCheck, EraTracker, FeedResponse, RowPage, RowPut, RowStore, StoreError,
        StoreVersion, StoredRow, WriteOutcome,
    },
};

/// Timeout of one call that does not wait for changes.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout for the response to a poll for changes, in addition to the time that the store waits.
/// Added to the wait for the configuration it stays below the 3 s within which a host must detect a
/// dead connection.
const POLL_SLACK: Duration = Duration::from_millis(500);
/// Limits on the time of a response body, which may be a large configuration on a narrow link. A
/// dead connection is still detected within the time that the limits on calls allow.
const TRANSFER_LIMITS: TransferLimits = TransferLimits {
    stall: Duration::from_millis(500),
    total: Duration::from_secs(10),
};
/// Largest response: a configuration of 25,000 routes in base64 takes a quarter of it.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Number that grows when the store comes back from an older copy; earlier stores do not send it.
const ERA_HEADER: &str = "store-era";
/// Bytes of a query value that are percent-encoded.
const QUERY_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b':');

fn encode_query(value: &str) -> PercentEncode<'_> {
    utf8_percent_encode(value, QUERY_ESCAPES)
}

/// The client of the platform's store.
pub struct RowClient {
    address: SocketAddr,
    metrics: Rc<Metrics>,
    eras: RefCell<EraTracker>,
}

/// A response whose era is valid.
struct EraResponse {
    status: StatusCode,
    era: Era,
    body: Bytes,
}

#[serde_as]
#[derive(Deserialize)]
struct RowField {
    key: String,
    #[serde_as(as = "Option<Base64>")]
    #[serde(default)]
    value: Option<Vec<u8>>,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    removed: bool,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RowsResponse {
    rows: Vec<RowField>,
    ver: u64,
    /// The store's steady clock, not the time of day.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    now_s: Duration,
    #[serde(default)]
    truncated: bool,
}

#[derive(Deserialize)]
struct ConflictResponse {
    rows: Vec<RowField>,
}

#[derive(Deserialize)]
struct WriteResponse {
    ver: u64,
}

#[derive(Serialize)]
struct RowVersion<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    ver: u64,
}

#[serde_as]
#[derive(Serialize)]
struct RowValue<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    #[serde_as(as = "Base64")]
    value: &'a [u8],
}

#[derive(Serialize)]
struct WriteRequest<'a> {
    expect: Vec<RowVersion<'a>>,
    puts: Vec<RowValue<'a>>,
    deletes: [RowVersion<'a>; 0],
}

impl RowClient {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr, metrics: Rc<Metrics>) -> Self {
        Self {
            address,
            metrics,
            eras: RefCell::default(),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<EraResponse, StoreError> {
        let sent_in = self.era();
        let json = [("content-type", "application/json")];
        let headers: &[(&str, &str)] = if body.is_empty() { &[] } else { &json };
        let req = CallRequest {
            method,
            path,
            headers,
            body,
            timeout,
            transfer: Some(TRANSFER_LIMITS),
            max_response_bytes: MAX_RESPONSE_BYTES,
        };
        self.metrics.count(Counter::StoreCalls);
        match call(self.address, &req).await {
            Ok(res) => {
                self.metrics
                    .add(Counter::PlatformBytes, res.bytes_transferred);
                let stated = res.headers.get(ERA_HEADER).map(HeaderValue::as_bytes);
                Ok(EraResponse {
                    status: res.status,
                    era: self.check_era(sent_in, stated)?,
                    body: res.body,
                })
            }
            Err(e) => {
                log::debug!("store call {} {path} failed: {e}", req.method);
                Err(StoreError::NoAnswer)
            }
        }
    }

    /// Returns the era of a response, or fails if it is invalid or not the newest one. A write may
    /// have taken effect in any of these cases.
    fn check_era(&self, sent_in: Era, stated: Option<&[u8]>) -> Result<Era, StoreError> {
        let (check, newest) = {
            let mut eras = self.eras.borrow_mut();
            (eras.check(sent_in, stated), eras.newest())
        };
        match check {
            EraCheck::Current => Ok(newest),
            EraCheck::New => {
                log::info!(era:% = newest, before:% = sent_in; "the store states a new era");
                self.metrics.count(Counter::StoreEras);
                Ok(newest)
            }
            EraCheck::Late => {
                log::info!(era:% = newest; "response of an earlier era of the store ignored");
                Err(StoreError::BadAnswer)
            }
            EraCheck::Invalid(fault) => {
                let stated = stated.map(String::from_utf8_lossy);
                log::warn!(era:% = newest, stated:? = stated, reason:% = fault;
                    "invalid era in a response of the store");
                self.metrics.count(Counter::StoreErasInvalid);
                Err(StoreError::BadAnswer)
            }
        }
    }

    async fn read_rows(&self, path: &str, timeout: Duration) -> Result<FeedResponse, StoreError> {
        let res = self.send(Method::GET, path, Bytes::new(), timeout).await?;
        match res.status {
            StatusCode::OK => {
                let rows = decode::<RowsResponse>(&res.body)?;
                Ok(FeedResponse::Changed(rows.into_page(res.era)))
            }
            StatusCode::GONE => Ok(FeedResponse::HistoryCompacted),
            status => Err(unexpected(status)),
        }
    }
}

impl RowsResponse {
    fn into_page(self, era: Era) -> RowPage {
        RowPage {
            rows: stored_rows(self.rows),
            version: StoreVersion::new(era, self.ver),
            store_time: self.now_s,
            truncated: self.truncated,
        }
    }
}

fn stored_rows(rows: Vec<RowField>) -> Vec<StoredRow> {
    let row = |row: RowField| StoredRow {
        key: row.key,
        value: row.value.filter(|_| !row.removed).map(Bytes::from),
        version: row.ver,
    };
    rows.into_iter().map(row).collect()
}

impl RowStore for RowClient {
    fn era(&self) -> Era {
        self.eras.borrow().newest()
    }

    fn read<'a>(
        &'a self,
        table: &'a str,
        part: &'a str,
        from: &'a str,
    ) -> BoxFuture<'a, Result<RowPage, StoreError>> {
        Box::pin(async move {
            let [table, part, from] = [table, part, from].map(encode_query);
            let path = format!("/rows-get?table={table}&part={part}&from={from}");
            match self.read_rows(&path, CALL_TIMEOUT).await? {
                FeedResponse::Changed(rows) => Ok(rows),
                FeedResponse::HistoryCompacted => Err(StoreError::BadAnswer),
            }
        })
    }

    fn poll_changes<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<FeedResponse, StoreError>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let table = encode_query(table);
            let path = format!("/rows-feed?table={table}&after={after}&waitMs={wait_ms}");
            self.read_rows(&path, wait + POLL_SLACK).await
        })
    }

    fn write<'a>(&'a self, puts: &'a [RowPut]) -> BoxFuture<'a, Result<WriteOutcome, StoreError>> {
        Box::pin(async move {
            let expect = puts.iter().filter_map(|put| {
                let ver = put.expected?;
                Some(row_version(put, ver))
            });
            let req = WriteRequest {
                expect: expect.collect(),
                puts: puts.iter().map(row_value).collect(),
                deletes: [],
            };
            let body = serde_json::to_vec(&req).map_err(|_| StoreError::Refused)?;
            let (method, body) = (Method::POST, Bytes::from(body));
            let res = self.send(method, "/rows-tx", body, CALL_TIMEOUT).await?;
            match res.status {
                StatusCode::OK => Ok(WriteOutcome::Committed {
                    version: StoreVersion::new(res.era, decode::<WriteResponse>(&res.body)?.ver),
                }),
                StatusCode::PRECONDITION_FAILED => {
                    let res = decode::<ConflictResponse>(&res.body)?;
                    Ok(WriteOutcome::Conflict(stored_rows(res.rows)))
                }
                status => Err(unexpected(status)),
            }
        })
    }
}

/// Returns the error for a status without a result. Only a status that promises it means that
/// nothing took effect.
fn unexpected(status: StatusCode) -> StoreError {
    let did_nothing = status.is_client_error()
        || status == StatusCode::SERVICE_UNAVAILABLE
        || status == StatusCode::INSUFFICIENT_STORAGE;
    if did_nothing {
        return StoreError::Refused;
    }
    log::warn!(status = status.as_u16(); "unexpected status from the store");
    StoreError::BadAnswer
}

fn row_version<'a>(put: &'a RowPut, ver: u64) -> RowVersion<'a> {
    RowVersion {
        table: put.table,
        part: &put.part,
        key: &put.key,
        ver,
    }
}

fn row_value(put: &RowPut) -> RowValue<'_> {
    RowValue {
        table: put.table,
        part: &put.part,
        key: &put.key,
        value: &put.value,
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|e| {
        log::warn!("malformed response from the store: {e}");
        StoreError::BadAnswer
    })
}
