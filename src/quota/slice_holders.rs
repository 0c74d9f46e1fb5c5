//! The holders of the slices of all data centres.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{clock::BootTime, store::StoreVersion};

use super::{HolderAddress, HolderChange, SearchHolders};

/// Time for which no request is sent to a holder that did not respond or does not hold the slice.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(700);
/// Time for which a holder that did not respond or does not hold the slice is suspected to have
/// failed; longer than the term of its lease after the last daemon of the data centre has begun to
/// watch it.
const SUSPECT_TIME: Duration = Duration::from_secs(15);

/// Time for which requests wait beyond the usual timeout for a holder that has stopped responding.
/// A link that is busy with uploads delivers a late response within it, unlike one that is down.
const PATIENCE: Duration = Duration::from_secs(3);

/// Time for which rows older than an announcement are ignored. Readers of the store pass changes of
/// the members on late, by up to 3 s.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(10);

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
    /// Version of the rows that named it.
    version: StoreVersion,
    /// Until when rows of an earlier version are ignored, if it was announced by another daemon.
    announced_until: BootTime,
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
    /// Sets the holder of a data centre's slice that was named by rows of this version.
    pub fn set(&self, data_centre: &str, host: &str, version: StoreVersion) {
        self.insert(data_centre, host, version, BootTime::default());
    }

    /// Sets the holder of a data centre's slice from a row of this version, unless another daemon
    /// has announced a newer holder.
    pub fn set_from_row(
        &self,
        data_centre: &str,
        host: &str,
        version: StoreVersion,
        now: BootTime,
    ) {
        let is_outdated = |h: &Holder| h.version > version && h.announced_until > now;
        let is_known = |h: &Holder| h.version == version && *h.host == *host;
        let holders = self.by_centre.borrow();
        let known = holders.get(data_centre);
        if known.is_some_and(|h| is_outdated(h) || is_known(h)) {
            return;
        }
        drop(holders);
        self.insert(data_centre, host, version, BootTime::default());
    }

    /// Sets the holder that another daemon has announced, unless a newer one is known.
    pub fn announce(&self, change: &HolderChange, now: BootTime) {
        let holders = self.by_centre.borrow();
        let known = holders.get(&change.data_centre);
        if known.is_some_and(|h| h.version >= change.version) {
            return;
        }
        drop(holders);
        let (centre, host) = (change.data_centre.as_str(), change.host.as_str());
        log::info!(data_centre = centre, holder = host, row:? = change.version;
            "slice holder announced");
        self.insert(centre, host, change.version, now + ANNOUNCEMENT_TIME);
    }

    fn insert(
        &self,
        data_centre: &str,
        host: &str,
        version: StoreVersion,
        announced_until: BootTime,
    ) {
        let holder = Holder {
            host: Rc::from(host),
            version,
            announced_until,
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

    /// Updates the holder of a data centre's slice, unless it is another host than this one.
    fn update(&self, data_centre: &str, host: &str, f: impl FnOnce(&mut Holder)) {
        let mut holders = self.by_centre.borrow_mut();
        if let Some(holder) = holders.get_mut(data_centre).filter(|h| *h.host == *host) {
            f(holder);
        }
    }

    /// Records that the holder of a data centre's slice cannot be reached, or answered that it does
    /// not hold the slice.
    pub fn record_unavailable(&self, data_centre: &str, host: &str, now: BootTime) {
        self.update(data_centre, host, |holder| {
            holder.gone = true;
            holder.paused_until = now + UNAVAILABLE_PAUSE;
            holder.suspect_until = now + SUSPECT_TIME;
        });
    }

    /// Records that the holder of a data centre's slice did not respond in time. It may do so late,
    /// as this daemon's own link may be busy.
    pub fn record_silent(&self, data_centre: &str, host: &str, now: BootTime) {
        self.update(data_centre, host, |holder| {
            holder.gone = false;
            holder.silent_since.get_or_insert(now);
            holder.paused_until = now + UNAVAILABLE_PAUSE;
            holder.suspect_until = now + SUSPECT_TIME;
        });
    }

    /// Records that the holder of a data centre's slice answered as its holder, which clears the
    /// suspicion that it has failed.
    pub fn record_available(&self, data_centre: &str, host: &str, now: BootTime) {
        self.update(data_centre, host, |holder| {
            holder.suspect_until = BootTime::default();
            holder.silent_since = None;
            holder.gone = false;
            holder.answered_at = Some(now);
        });
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
