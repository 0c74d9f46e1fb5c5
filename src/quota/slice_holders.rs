//! The holders of the slices of all data centres.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::clock::BootTime;

/// Time for which no request is sent to a holder that did not respond or does not hold the slice.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(700);
/// Time for which a holder that did not respond or does not hold the slice is suspected to have
/// failed; longer than the term of its lease after the last daemon of the data centre has begun to
/// watch it.
const SUSPECT_TIME: Duration = Duration::from_secs(15);

/// Time without an answer after which a holder is checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Prefix of the keys under which the holders of slices are stored in the members table.
const HOLDER_KEY_PREFIX: &str = "slice:";

/// The row that announces the holder of a data centre's slice to all daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// Name of the host.
    pub host: String,
}

impl HolderRow {
    /// Returns the key of the row for `data_centre`.
    pub fn key(data_centre: &str) -> String {
        format!("{HOLDER_KEY_PREFIX}{data_centre}")
    }

    /// Returns the data centre in a key; `None` for keys of other rows.
    pub fn data_centre(key: &str) -> Option<&str> {
        key.strip_prefix(HOLDER_KEY_PREFIX)
    }
}

#[derive(Debug, Clone)]
struct Holder {
    host: Rc<str>,
    paused_until: BootTime,
    suspect_until: BootTime,
    /// When the holder last answered as such.
    answered_at: Option<BootTime>,
}

/// The holders of the slices of all data centres.
#[derive(Clone, Default)]
pub struct SliceHolders {
    by_centre: Rc<RefCell<BTreeMap<String, Holder>>>,
}

impl SliceHolders {
    /// Sets the holder of a data centre's slice.
    pub fn set(&self, data_centre: &str, host: &str) {
        let holder = Holder {
            host: Rc::from(host),
            paused_until: BootTime::default(),
            suspect_until: BootTime::default(),
            answered_at: None,
        };
        self.by_centre
            .borrow_mut()
            .insert(data_centre.to_owned(), holder);
    }

    /// Returns the host that holds the slice of `data_centre`.
    pub fn holder(&self, data_centre: &str) -> Option<Rc<str>> {
        let holders = self.by_centre.borrow();
        holders.get(data_centre).map(|h| h.host.clone())
    }

    /// Returns the data centres with their holders, the local one first and the others in random
    /// order, without holders that were recently recorded as unavailable.
    pub fn available_holders(&self, own_centre: &str, now: BootTime) -> Vec<(String, Rc<str>)> {
        let holders = self.by_centre.borrow();
        let available = holders.iter().filter(|(_, h)| h.paused_until <= now);
        let mut available: Vec<(String, Rc<str>)> = available
            .map(|(centre, h)| (centre.clone(), h.host.clone()))
            .collect();
        fastrand::shuffle(&mut available);
        available.sort_by_key(|(centre, _)| centre != own_centre);
        available
    }

    /// Records that the holder of a data centre's slice did not respond, or answered that it does
    /// not hold the slice.
    pub fn record_unavailable(&self, data_centre: &str, now: BootTime) {
        if let Some(holder) = self.by_centre.borrow_mut().get_mut(data_centre) {
            holder.paused_until = now + UNAVAILABLE_PAUSE;
            holder.suspect_until = now + SUSPECT_TIME;
        }
    }

    /// Records that the holder of a data centre's slice answered as its holder, which clears the
    /// suspicion that it has failed.
    pub fn record_available(&self, data_centre: &str, now: BootTime) {
        if let Some(holder) = self.by_centre.borrow_mut().get_mut(data_centre) {
            holder.suspect_until = BootTime::default();
            holder.answered_at = Some(now);
        }
    }

    /// Returns the holder of a data centre's slice if it has not answered for [`CHECK_INTERVAL`].
    pub fn unchecked_holder(&self, data_centre: &str, now: BootTime) -> Option<Rc<str>> {
        let holders = self.by_centre.borrow();
        let holder = holders.get(data_centre)?;
        let is_recent = |t: BootTime| now.since(t) < CHECK_INTERVAL;
        (!holder.answered_at.is_some_and(is_recent)).then(|| holder.host.clone())
    }

    /// Returns whether the slice of a data centre may have no holder, because none is known or the
    /// known one was recently recorded as unavailable.
    pub fn may_lack_holder(&self, data_centre: &str, now: BootTime) -> bool {
        let holders = self.by_centre.borrow();
        let holder = holders.get(data_centre);
        holder.is_none_or(|h| h.suspect_until > now)
    }
}
