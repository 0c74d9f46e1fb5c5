//! Server of the operator port.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{header, HeaderMap, Method, StatusCode};
use local_sync::{mpsc, oneshot};
use monoio::{io::Splitable, net::TcpListener, net::TcpStream};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::{
    catalog::{Change, KeyHasher, Route},
    config::Settings,
    health::BalancerHandle,
    http::{
        accept_task, encode_response_head, request_body_kind, BodyDecoder, ConnectionHandler,
        Framing, HeadLimits, HttpError, HttpReader, HttpWriter,
    },
    proxy::ProxyContext,
    store::BoxFuture,
    sync::{CatalogView, EditAnswer, EditRequest, SyncMessage},
};

use super::{key_generation::generate_key, GiveKeyResponse, MemberStatus, Status};

/// Limits for a request head.
const HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 16 * 1024,
    timeout: Duration::from_secs(5),
};
/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Context of the operator server.
pub struct OperatorContext {
    /// Settings of the daemon.
    pub settings: Rc<Settings>,
    /// State shared with the caller side.
    pub proxy: Rc<ProxyContext>,
    /// Current lists and keys.
    pub catalog: CatalogView,
    /// Hashes callers' keys.
    pub hasher: KeyHasher,
    /// Handle of the target balancer.
    pub balancer: BalancerHandle,
    /// Channel for edits.
    pub sync: mpsc::unbounded::Tx<SyncMessage>,
}

struct Reply {
    status: StatusCode,
    body: Bytes,
}

#[derive(Deserialize)]
struct GiveKeyRequest {
    workspace: String,
}

#[derive(Serialize)]
struct PlanEntry<'a> {
    workspace: &'a str,
    plan: &'a str,
    rate_per_s: f64,
    burst: u32,
}

#[derive(Serialize)]
struct AccessEntry<'a> {
    plan: &'a str,
    routes: &'a [Route],
}

#[derive(Serialize)]
struct KeyEntry<'a> {
    hash: String,
    workspace: &'a str,
}

/// Accepts operator connections until the daemon exits.
pub async fn operator_server_task(cx: Rc<OperatorContext>, listener: TcpListener) {
    accept_task(listener, "operator", cx).await;
}

impl ConnectionHandler for OperatorContext {
    fn serve_connection(&self, stream: TcpStream) -> BoxFuture<'_, Result<(), HttpError>> {
        Box::pin(serve(self, stream))
    }
}

async fn serve(cx: &OperatorContext, stream: TcpStream) -> Result<(), HttpError> {
    let (r, w) = stream.into_split();
    let mut reader = HttpReader::new(r);
    let mut writer = HttpWriter::new(w);
    while reader.wait_for_message().await? {
        let head = reader.read_request_head(&HEAD_LIMITS).await?;
        let body = BodyDecoder::new(request_body_kind(&head)?);
        let body = reader.read_body(body, MAX_BODY_BYTES).await?;
        let reply = cx
            .answer(&head.method, head.uri.path(), &head.headers, &body)
            .await;
        send(&mut writer, reply).await?;
    }
    Ok(())
}

async fn send(writer: &mut HttpWriter, reply: Reply) -> Result<(), HttpError> {
    let (mut head, ()) = http::Response::new(()).into_parts();
    head.status = reply.status;
    head.headers.insert(
        header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    let mut buf = BytesMut::new();
    encode_response_head(&head, Framing::Length(reply.body.len() as u64), &mut buf);
    buf.extend_from_slice(&reply.body);
    writer.write(buf.freeze()).await
}

impl OperatorContext {
    async fn answer(&self, method: &Method, path: &str, headers: &HeaderMap, body: &[u8]) -> Reply {
        if path == "/ready" {
            return self.ready();
        }
        if !self.has_operator_token(headers) {
            return error(StatusCode::UNAUTHORIZED, "an operator token is needed");
        }
        match (method.as_str(), path) {
            ("GET", "/status") => json(StatusCode::OK, &self.status().await),
            ("GET", "/plans") => self.plans(),
            ("GET", "/access") => self.access(),
            ("GET", "/keys") => self.keys(),
            ("POST", "/edit") => match serde_json::from_slice(body) {
                Ok(req) => edit_reply(&self.edit(req).await),
                Err(e) => error(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            ("POST", "/key/give") => match serde_json::from_slice(body) {
                Ok(req) => self.give_key(req).await,
                Err(e) => error(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            _ => error(StatusCode::NOT_FOUND, "no such operation"),
        }
    }

    fn is_ready(&self) -> bool {
        let now = self.proxy.clock.now();
        self.proxy.policy.is_ready(now) && !self.proxy.draining.is_triggered()
    }

    fn ready(&self) -> Reply {
        if self.is_ready() {
            return json(StatusCode::OK, &true);
        }
        json(StatusCode::SERVICE_UNAVAILABLE, &false)
    }

    fn has_operator_token(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(header::AUTHORIZATION).map(|v| v.as_bytes());
        let Some(token) = value.and_then(|v| v.strip_prefix(b"Bearer ")) else {
            return false;
        };
        let tokens = &self.settings.operator_tokens;
        tokens.iter().any(|t| t.as_bytes().ct_eq(token).into())
    }

    async fn status(&self) -> Status {
        let mut counters = BTreeMap::new();
        self.proxy.metrics.for_each_counter(|name, value| {
            counters.insert(name.to_owned(), value);
        });
        let targets = self.balancer.status().await;
        Status {
            host: self.settings.host.clone(),
            data_centre: self.settings.data_centre.clone(),
            version: env!("CARGO_PKG_VERSION"),
            uptime: self.proxy.clock.now().since(self.proxy.started_at),
            ready: self.is_ready(),
            leaving: self.proxy.draining.is_triggered(),
            revision: self.catalog.get().revision(),
            members: self.members(),
            in_flight: self.proxy.in_flight.count(),
            connections: self.proxy.connections.count(),
            buffered_bytes: self.proxy.buffered_bytes.count(),
            counters,
            targets: serde_json::to_value(targets).unwrap_or_default(),
        }
    }

    fn members(&self) -> Vec<MemberStatus> {
        let catalog = self.catalog.get();
        let members = catalog.members().iter();
        let entries = members.map(|(member, phase)| MemberStatus {
            host: member.host.clone(),
            phase: *phase,
        });
        entries.collect()
    }

    fn plans(&self) -> Reply {
        let catalog = self.catalog.get();
        let mut entries: Vec<PlanEntry<'_>> = catalog
            .plans()
            .map(|(workspace, plan)| PlanEntry {
                workspace,
                plan: &plan.plan,
                rate_per_s: plan.rate_per_s,
                burst: plan.burst,
            })
            .collect();
        entries.sort_by_key(|e| e.workspace);
        json(StatusCode::OK, &entries)
    }

    fn access(&self) -> Reply {
        let catalog = self.catalog.get();
        let mut entries: Vec<AccessEntry<'_>> = catalog
            .access_lists()
            .map(|(plan, routes)| AccessEntry { plan, routes })
            .collect();
        entries.sort_by_key(|e| e.plan);
        json(StatusCode::OK, &entries)
    }

    fn keys(&self) -> Reply {
        let catalog = self.catalog.get();
        let mut entries: Vec<KeyEntry<'_>> = catalog
            .keys()
            .map(|(hash, workspace)| KeyEntry {
                hash: hash.to_string(),
                workspace,
            })
            .collect();
        entries.sort_by(|a, b| (a.workspace, &a.hash).cmp(&(b.workspace, &b.hash)));
        json(StatusCode::OK, &entries)
    }

    async fn edit(&self, req: EditRequest) -> EditAnswer {
        let (reply, rx) = oneshot::channel();
        if self.sync.send(SyncMessage::Edit(req, reply)).is_err() {
            return EditAnswer::Unavailable;
        }
        rx.await.unwrap_or(EditAnswer::Unknown)
    }

    async fn give_key(&self, req: GiveKeyRequest) -> Reply {
        let Some(key) = generate_key() else {
            return error(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the system random source failed",
            );
        };
        let hash = self.hasher.hash(key.as_bytes());
        let change = Change::GiveKey {
            hash,
            workspace: req.workspace,
        };
        let edit = self
            .edit(EditRequest {
                from_revision: None,
                changes: vec![change],
            })
            .await;
        let may_be_accepted = matches!(
            edit,
            EditAnswer::Accepted { .. } | EditAnswer::Pending { .. } | EditAnswer::Unknown
        );
        let res = GiveKeyResponse {
            key: may_be_accepted.then_some(key),
            hash,
            edit,
        };
        json(edit_status(&res.edit), &res)
    }
}

fn edit_status(answer: &EditAnswer) -> StatusCode {
    match answer {
        EditAnswer::Accepted { .. } => StatusCode::OK,
        EditAnswer::Pending { .. } => StatusCode::ACCEPTED,
        EditAnswer::Stale { .. } => StatusCode::CONFLICT,
        EditAnswer::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        EditAnswer::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        EditAnswer::Unknown => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn edit_reply(answer: &EditAnswer) -> Reply {
    json(edit_status(answer), answer)
}

fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(body).unwrap_or_default();
    Reply {
        status,
        body: Bytes::from(body),
    }
}

fn error(status: StatusCode, text: &str) -> Reply {
    json(status, &serde_json::json!({ "error": text }))
}
