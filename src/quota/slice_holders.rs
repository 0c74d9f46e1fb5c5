//! The holders of the slices of all data centres.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::clock::BootTime;

use super::{HolderAddress, SearchHolders};

/// Time for which no request is sent to a holder that did not respond or does not hold the slice.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(700);
/// Time for which a holder that did not respond or does not hold the slice is suspected to have
/// failed; longer than the term of its lease after the last daemon of the data centre has begun to
/// watch it.
const SUSPECT_TIME: Duration = Duration::from_secs(15);

/// Time for which requests wait beyond the usual timeout for a holder that has stopped responding.
/// A link that is busy with uploads delivers a late response within it, unlike one that is down.
const PATIENCE: Duration = Duration::from_secs(3);

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
    /// When it first did not respond in time since its last response.
    silent_since: Option<BootTime>,
    /// Whether it was last found to be gone, or not to hold the slice.
    gone: bool,
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
            silent_since: None,
            gone: false,
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

    /// Returns the holders that one search for a token may ask. Those that responded to their last
    /// request come before the others, and the local one before those of other data centres, which
    /// are in random order.
    pub fn search_holders(&self, own_centre: &str, now: BootTime) -> SearchHolders {
        let holders = self.by_centre.borrow();
        let mut all: Vec<(&String, &Holder)> = holders.iter().collect();
        fastrand::shuffle(&mut all);
        let silence = |h: &Holder| h.silent_since.map_or(Duration::ZERO, |t| now.since(t));
        all.sort_by_key(|(centre, h)| (h.suspect_until > now, *centre != own_centre));
        let address = |(centre, h): &(&String, &Holder)| HolderAddress {
            centre: (*centre).clone(),
            host: h.host.clone(),
        };
        let is_paused = |h: &Holder| h.paused_until > now;
        let may_respond = |h: &Holder| !(h.gone && is_paused(h)) && silence(h) < PATIENCE;
        let available = all.iter().filter(|(_, h)| !is_paused(h));
        let mut silent: Vec<_> = all
            .iter()
            .filter(|(_, h)| is_paused(h) && may_respond(h))
            .collect();
        silent.sort_by_key(|(_, h)| silence(h));
        SearchHolders {
            available: available.map(address).collect(),
            silent: silent.into_iter().map(address).collect(),
            may_respond_late: all.iter().any(|(_, h)| may_respond(h)),
        }
    }

    /// Records that the holder of a data centre's slice cannot be reached, or answered that it does
    /// not hold the slice.
    pub fn record_unavailable(&self, data_centre: &str, now: BootTime) {
        if let Some(holder) = self.by_centre.borrow_mut().get_mut(data_centre) {
            holder.gone = true;
            holder.paused_until = now + UNAVAILABLE_PAUSE;
            holder.suspect_until = now + SUSPECT_TIME;
        }
    }

    /// Records that the holder of a data centre's slice did not respond in time. It may do so late,
    /// as this daemon's own link may be busy.
    pub fn record_silent(&self, data_centre: &str, now: BootTime) {
        if let Some(holder) = self.by_centre.borrow_mut().get_mut(data_centre) {
            holder.gone = false;
            holder.silent_since.get_or_insert(now);
            holder.paused_until = now + UNAVAILABLE_PAUSE;
            holder.suspect_until = now + SUSPECT_TIME;
        }
    }

    /// Records that the holder of a data centre's slice answered as its holder, which clears the
    /// suspicion that it has failed.
    pub fn record_available(&self, data_centre: &str, now: BootTime) {
        if let Some(holder) = self.by_centre.borrow_mut().get_mut(data_centre) {
            holder.suspect_until = BootTime::default();
            holder.silent_since = None;
            holder.gone = false;
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
