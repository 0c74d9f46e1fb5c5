//! Encodes the changes of one table for other daemons.

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use crate::store::StoreVersion;

use super::{change_message::HeldCopy, delta_codec::encode_delta, EncodedDelta, FollowedTable};

/// Encoded deltas kept; many daemons hold the same version and ask for the same delta.
const MAX_CACHED: usize = 4;

struct CachedDelta {
    held: HeldCopy,
    /// Version of the local copy from which the delta was made.
    version: Option<StoreVersion>,
    delta: EncodedDelta,
}

/// Encodes the changes of one table, each distinct delta once.
pub(super) struct DeltaEncoder {
    table: Rc<FollowedTable>,
    cache: RefCell<VecDeque<CachedDelta>>,
}

impl DeltaEncoder {
    /// Creates an encoder for `table`.
    pub(super) fn new(table: Rc<FollowedTable>) -> Self {
        Self {
            table,
            cache: RefCell::default(),
        }
    }

    /// Returns the changes since the copy `held`; `None` if there are none to be had here.
    pub(super) fn encode(&self, held: &HeldCopy) -> Option<EncodedDelta> {
        let version = self.table.version();
        let is_same = |c: &&CachedDelta| c.held == *held && c.version == version;
        if let Some(cached) = self.cache.borrow().iter().find(is_same) {
            return Some(cached.delta.clone());
        }
        let delta = self.encode_uncached(held)?;
        let mut cache = self.cache.borrow_mut();
        if cache.len() >= MAX_CACHED {
            cache.pop_front();
        }
        cache.push_back(CachedDelta {
            held: held.clone(),
            version,
            delta: delta.clone(),
        });
        Some(delta)
    }

    fn encode_uncached(&self, held: &HeldCopy) -> Option<EncodedDelta> {
        let delta = self.table.delta_since(held.version)?;
        let base = held.base.as_ref().and_then(|row| self.table.value_at(row));
        let uses_base = base.is_some();
        match encode_delta(&delta, &base.unwrap_or_default()) {
            Ok(compressed) => Some(EncodedDelta {
                uses_base,
                compressed,
            }),
            Err(e) => {
                let (table, reason) = (self.table.name(), e.to_string());
                log::error!(table = table, reason = reason.as_str(); "cannot encode changes");
                None
            }
        }
    }
}
