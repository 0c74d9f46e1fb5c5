//! Encoding of the whole catalog as a snapshot.

use std::{collections::BTreeMap, rc::Rc};

use bytes::{Buf, Bytes};
use serde::{Deserialize, Serialize};

use crate::{
    catalog::{Catalog, Change, KeyHash},
    membership::{Member, Phase},
};

use super::CatalogView;

/// Rows of one part.
const PART_ROWS: usize = 2000;

/// One row of a snapshot.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum SnapshotRow {
    /// A row of the lists or keys, as the change that sets it.
    Set(Change),
    /// A member, its phase, and the revision at which the phase began.
    Member(Member, Phase, u64),
}

/// The header of a snapshot.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct SnapshotHead {
    base: u64,
    lists_revision: u64,
}

/// The encoded catalog, in parts that are decoded one by one.
///
/// The rows are read while edits are being applied, so that they may reflect some edits after the
/// base. Since changes set whole rows, applying all edits after the base and up to the end yields the
/// exact state at the end revision.
pub(super) struct Snapshot {
    /// Revision before the first row was read.
    pub(super) base: u64,
    /// Revision after the last row was read; edits up to it must be applied before use.
    pub(super) end: u64,
    /// The parts, the first of which is the header.
    pub(super) parts: Vec<Bytes>,
}

/// Keys of all rows at the start of a snapshot.
struct RowKeys {
    plans: Vec<Rc<str>>,
    access: Vec<String>,
    keys: Vec<KeyHash>,
}

impl RowKeys {
    fn new(catalog: &Catalog) -> Self {
        Self {
            plans: catalog.plans().map(|(w, _)| w.clone()).collect(),
            access: catalog.access_lists().map(|(p, _)| p.to_owned()).collect(),
            keys: catalog.keys().map(|(h, _)| *h).collect(),
        }
    }
}

impl Snapshot {
    /// Encodes the catalog, yielding to other tasks between the parts; `None` if no catalog is
    /// loaded.
    pub(super) async fn take(view: &CatalogView) -> Option<Self> {
        if !view.get().is_loaded() {
            return None;
        }
        let base = view.get().revision();
        let lists_revision = view.get().lists_revision();
        let head = SnapshotHead {
            base,
            lists_revision,
        };
        let mut parts = vec![Bytes::from(rmp_serde::to_vec(&head).ok()?)];
        let keys = RowKeys::new(&view.get());
        let members = member_rows(&view.get());
        parts.push(encode_rows(&members)?);
        for chunk in keys.plans.chunks(PART_ROWS) {
            parts.push(encode_rows(&plan_rows(&view.get(), chunk))?);
            yield_now().await;
        }
        for chunk in keys.access.chunks(PART_ROWS) {
            parts.push(encode_rows(&access_rows(&view.get(), chunk))?);
            yield_now().await;
        }
        for chunk in keys.keys.chunks(PART_ROWS) {
            parts.push(encode_rows(&key_rows(&view.get(), chunk))?);
            yield_now().await;
        }
        let end = view.get().revision();
        Some(Self { base, end, parts })
    }

    /// Decodes a snapshot into a catalog of its base revision.
    pub(super) async fn decode(parts: &[Bytes]) -> Option<Catalog> {
        let (head, rows) = parts.split_first()?;
        let head: SnapshotHead = rmp_serde::from_slice(head).ok()?;
        let mut catalog = Catalog::default();
        for part in rows {
            let rows: Vec<SnapshotRow> = rmp_serde::from_slice(part).ok()?;
            for row in &rows {
                match row {
                    SnapshotRow::Set(change) => catalog.apply_change(change),
                    SnapshotRow::Member(m, phase, at) => catalog.restore_member(m, *phase, *at),
                }
            }
            yield_now().await;
        }
        catalog.advance_to(head.base);
        catalog.restore_lists_revision(head.lists_revision);
        Some(catalog)
    }

    /// Concatenates the parts, each with its length, into one object.
    pub(super) fn to_object(&self) -> Bytes {
        let len: usize = self.parts.iter().map(|p| p.len() + 4).sum();
        let mut buf = Vec::with_capacity(len + 8);
        buf.extend_from_slice(&self.end.to_be_bytes());
        for part in &self.parts {
            buf.extend_from_slice(&(part.len() as u32).to_be_bytes());
            buf.extend_from_slice(part);
        }
        Bytes::from(buf)
    }

    /// Splits an object into its end revision and its parts.
    pub(super) fn split_object(mut object: Bytes) -> Option<(u64, Vec<Bytes>)> {
        let end = object.try_get_u64().ok()?;
        let mut parts = Vec::new();
        while object.has_remaining() {
            let len = object.try_get_u32().ok()? as usize;
            if len > object.remaining() {
                return None;
            }
            parts.push(object.split_to(len));
        }
        Some((end, parts))
    }
}

async fn yield_now() {
    monoio::time::sleep(std::time::Duration::ZERO).await;
}

fn encode_rows(rows: &[SnapshotRow]) -> Option<Bytes> {
    rmp_serde::to_vec(rows).ok().map(Bytes::from)
}

fn member_rows(catalog: &Catalog) -> Vec<SnapshotRow> {
    let members = catalog.members();
    let at = members.pending_change().unwrap_or(0);
    let rows = members.iter();
    rows.map(|(m, phase)| SnapshotRow::Member(m.clone(), *phase, at))
        .collect()
}

fn plan_rows(catalog: &Catalog, workspaces: &[Rc<str>]) -> Vec<SnapshotRow> {
    let row = |w: &Rc<str>| {
        catalog.plan_of(w).map(|plan| {
            SnapshotRow::Set(Change::SetPlan {
                workspace: w.to_string(),
                plan: plan.clone(),
            })
        })
    };
    workspaces.iter().filter_map(row).collect()
}

fn access_rows(catalog: &Catalog, plans: &[String]) -> Vec<SnapshotRow> {
    let lists: BTreeMap<&str, _> = catalog.access_lists().collect();
    let row = |p: &String| {
        lists.get(p.as_str()).map(|routes| {
            SnapshotRow::Set(Change::SetAccess {
                plan: p.clone(),
                routes: routes.to_vec(),
            })
        })
    };
    plans.iter().filter_map(row).collect()
}

fn key_rows(catalog: &Catalog, hashes: &[KeyHash]) -> Vec<SnapshotRow> {
    let row = |hash: &KeyHash| {
        catalog.workspace_of(hash).map(|w| {
            SnapshotRow::Set(Change::GiveKey {
                hash: *hash,
                workspace: w.to_string(),
            })
        })
    };
    hashes.iter().filter_map(row).collect()
}
